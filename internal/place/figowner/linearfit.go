package figowner

const (
	// lineWeight is the weight of a new sample in a fit.
	fitWeight = 0.05
	// lineSamples is the number of samples from which a fit is used.
	minFitSamples = 8
)

// line fits a straight line through samples, of which the newest weigh most.
type linearFit struct {
	samples                      int
	meanX, meanY, meanXX, meanXY float64
	slope                        float64
	fitted                       bool
}

// add takes a sample. The slope is taken anew only while the variance of x is at
// least spread: samples at the same x show no slope, and the one known before is kept.
func (l *linearFit) add(x, y, spread float64) {
	w := max(fitWeight, 1/float64(l.samples+1))
	l.samples++
	l.meanX += w * (x - l.meanX)
	l.meanY += w * (y - l.meanY)
	l.meanXX += w * (x*x - l.meanXX)
	l.meanXY += w * (x*y - l.meanXY)
	if variance := l.meanXX - l.meanX*l.meanX; l.samples >= minFitSamples && variance >= spread {
		l.slope, l.fitted = (l.meanXY-l.meanX*l.meanY)/variance, true
	}
}

// at returns the value of the line.
func (l *linearFit) value(x float64) float64 { return l.meanY + l.slope*(x-l.meanX) }

package figowner

const (
	// fitWeight is the weight of a new sample in a fit.
	fitWeight = 0.05
	// minFitSamples is the number of samples needed before a fit is used.
	minFitSamples = 8
)

// linearFit fits a straight line to samples, weighted towards the newest.
type linearFit struct {
	samples                      int
	meanX, meanY, meanXX, meanXY float64
	slope                        float64
	fitted                       bool
}

// add adds a sample. The slope is recomputed only while the variance of x is at least spread. Samples
// at nearly the same x carry no information on the slope, so the last slope is kept.
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

// value returns the value of the fitted line at x.
func (l *linearFit) value(x float64) float64 { return l.meanY + l.slope*(x-l.meanX) }

package figtree

import (
	"bytes"
	"strconv"
)

// Bounds on the shape of a text. They keep the cost of parsing one document near
// proportional to its size, so that no team's document holds up the others'.
const (
	// maxTextBytes is the size of the largest value that the service holds.
	maxTextBytes = 1 << 20
	// maxLineBytes bounds a line.
	maxLineBytes = 4096
	// maxIndent bounds the blanks and dashes that begin a line.
	maxIndent = 64
	// maxBrackets bounds how deep brackets and braces are nested, quotes included.
	maxBrackets = 16
)

// checkShape returns the line and reason of the first bound that a text exceeds,
// and an empty reason if there is none.
func checkShape(text []byte) (line int, reason string) {
	if len(text) > maxTextBytes {
		return 0, "text is longer than " + strconv.Itoa(maxTextBytes) + " bytes"
	}
	depth := 0
	for l := range bytes.Lines(text) {
		line++
		if len(l) > maxLineBytes {
			return line, "line is longer than " + strconv.Itoa(maxLineBytes) + " bytes"
		}
		if len(l)-len(bytes.TrimLeft(l, " \t-?:")) > maxIndent {
			return line, "line is indented too far"
		}
		var deepest int
		if depth, deepest = brackets(l, depth); deepest > maxBrackets {
			return line, "brackets are nested too deeply"
		}
	}
	return 0, ""
}

// brackets returns the depth after a line and the greatest depth within it.
func brackets(line []byte, depth int) (after, deepest int) {
	for _, c := range line {
		switch c {
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth = max(0, depth-1)
		}
	}
	return depth, deepest
}

package figtree

import (
	"bytes"
	"strconv"
)

// Limits that are checked before YAML parsing. They keep the cost of parsing nearly
// linear in the size of the document, so that no team's document can delay those of
// other teams.
const (
	// maxTextBytes is the largest value that the configuration service stores.
	maxTextBytes = 1 << 20
	// maxLineBytes bounds the length of a line, including the line break.
	maxLineBytes = 4096
	// maxIndent bounds the leading blanks, tabs and the characters "-?:" of a line.
	maxIndent = 64
	// maxBrackets bounds the nesting depth of brackets and braces; those in quoted
	// strings count too.
	maxBrackets = 16
)

// checkShape returns the line and reason of the first limit that a text exceeds, or
// an empty reason if it exceeds none. Line 0 stands for the whole text.
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

// brackets returns the nesting depth after a line and the greatest depth within it,
// given the depth before it.
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

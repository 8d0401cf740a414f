package figbudget

const (
	// ChatMessageTokens is the number of tokens that a chat template adds to the text of one
	// message.
	ChatMessageTokens = 4
	// asciiLettersPerToken is the number of consecutive ASCII letters that count as one token.
	asciiLettersPerToken = 3
	// nonASCIIBytesPerToken is the number of consecutive non-ASCII bytes that count as one token.
	nonASCIIBytesPerToken = 2
)

// byteClass groups bytes that a tokenizer may join into one token.
type byteClass uint8

const (
	letter byteClass = iota
	space
	nonASCII
	separate
)

// EstimateTokens estimates the number of tokens of a text without the engine's tokenizer. Three
// consecutive ASCII letters, two consecutive non-ASCII bytes, a run of white space, and each digit,
// sign or other byte count as one token. A tokenizer whose tokens are made of whole bytes yields at
// most three times the estimate, except for runs of white space, which engines join. The estimate
// never exceeds the number of bytes.
func EstimateTokens(text []byte) int64 {
	tokens, run := 0, 0
	last := separate
	for _, c := range text {
		class := classify(c)
		if class != last {
			run = 0
		}
		if startsToken(class, run) {
			tokens++
		}
		run++
		last = class
	}
	return int64(tokens)
}

func classify(c byte) byteClass {
	switch {
	case c >= 0x80:
		return nonASCII
	case c|0x20 >= 'a' && c|0x20 <= 'z':
		return letter
	case c == ' ' || c == '\t' || c == '\n' || c == '\r':
		return space
	}
	return separate
}

// startsToken says whether the byte at offset in a run of its class starts a token.
func startsToken(class byteClass, offset int) bool {
	switch class {
	case letter:
		return offset%asciiLettersPerToken == 0
	case nonASCII:
		return offset%nonASCIIBytesPerToken == 0
	case space:
		return offset == 0
	}
	return true
}

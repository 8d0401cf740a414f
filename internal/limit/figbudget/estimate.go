package figbudget

const (
	// MessageTokens is what the frame of one message of a chat adds to its text.
	ChatMessageTokens = 4
	// lettersPerToken is how many ASCII letters in a row count as one token.
	asciiLettersPerToken = 3
	// bytesPerToken is how many bytes of other scripts in a row count as one token.
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

// EstimateTokens counts the tokens of a text before an engine has. Letters count
// three to a token, other scripts two bytes, a run of spaces one, and each digit
// and sign by itself. A tokenizer whose tokens are made of whole bytes yields at
// most three times as many, runs of spaces apart, which engines join; and the
// estimate is never above the number of bytes.
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

// opens says whether the byte at this place in a run of its class counts.
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

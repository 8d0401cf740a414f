package figcommand

import (
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// errWholeNumberRange is the error of a number that an int can't hold.
var errWholeNumberRange = errors.New("must be a number that fits into 32 bits")

// wholeNumber is the value of a flag that holds a whole number. Platforms derive some settings
// from others and may write them with a fraction, which is rounded down.
type wholeNumber struct{ into *int }

// Set parses a decimal number with or without a fraction.
func (n wholeNumber) Set(text string) error {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return err
	}
	if math.IsNaN(f) || math.Abs(f) > math.MaxInt32 {
		return errWholeNumberRange
	}
	*n.into = int(math.Floor(f))
	return nil
}

// Get returns the number as an int.
func (n wholeNumber) Get() any { return *n.into }

// String returns the number in decimal, and "" for the zero value.
func (n wholeNumber) String() string {
	if n.into == nil {
		return ""
	}
	return strconv.Itoa(*n.into)
}

// wholeFlag returns a flag for a whole number that accepts fractions; see wholeNumber.
func wholeFlag(name, usage string, p *int) cli.Flag {
	return &cli.GenericFlag{Name: name, Usage: usage, Value: wholeNumber{p}, Sources: env(name)}
}

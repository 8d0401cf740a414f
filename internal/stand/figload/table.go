package figload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Table writes a table with one line for each client account, then the number of
// refusals and failures by reason.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "account\toffered\tanswered\tin targets\trefused\tinside rate\tfailed\twrong\tleft\ttokens"+
		"\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\t")
	// Flush returns the first error of these writes.
	for _, a := range r.Accounts {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", a.Name, a.Offered, a.Answered+a.PlainAnswered,
			a.WithinTargets, sum(a.Refused), a.RefusedInside, sum(a.Failed), a.Wrong, a.Cancelled, a.Tokens)
		_, _ = fmt.Fprintf(t, "%s\t%s\t", a.FirstToken, a.BetweenTokens)
		_, _ = fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, a := range r.Accounts {
		if err := writeReasons(w, a.Name, "refused", a.Refused); err != nil {
			return err
		}
		if err := writeReasons(w, a.Name, "failed", a.Failed); err != nil {
			return err
		}
	}
	return nil
}

// String returns the percentiles as three cells of a table, in milliseconds.
func (p Percentiles) String() string {
	return fmt.Sprintf("%s\t%s\t%s", millis(p.P50), millis(p.P95), millis(p.P99))
}

func millis(micros int64) string {
	return fmt.Sprintf("%.1fms", float64(micros)/float64(time.Millisecond/time.Microsecond))
}

func writeReasons(w io.Writer, account, what string, counts map[string]int) error {
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		if _, err := fmt.Fprintf(w, "%s %s: %d %s\n", account, what, counts[reason], reason); err != nil {
			return err
		}
	}
	return nil
}

func sum(counts map[string]int) int {
	n := 0
	for c := range maps.Values(counts) {
		n += c
	}
	return n
}

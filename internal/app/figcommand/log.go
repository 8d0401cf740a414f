package figcommand

import (
	"flag"
	"io"
	"strconv"

	"k8s.io/klog/v2"
)

// logTo has all log lines of the process written to w, each once.
func logTo(w io.Writer, verbosity int) error {
	f := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(f)
	for name, value := range map[string]string{
		"logtostderr": "false",
		"one_output":  "true",
		"v":           strconv.Itoa(verbosity),
	} {
		if err := f.Set(name, value); err != nil {
			return err
		}
	}
	klog.SetOutput(w)
	return nil
}

// discardLogs keeps log lines out of what a command shows on the terminal.
func discardLogs() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

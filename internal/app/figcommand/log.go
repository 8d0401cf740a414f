package figcommand

import (
	"flag"
	"io"
	"strconv"

	"k8s.io/klog/v2"
)

// logTo writes each log line of the process once to w, up to a verbosity.
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

// discardLogs discards all log lines, so that a command's output contains none.
func discardLogs() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

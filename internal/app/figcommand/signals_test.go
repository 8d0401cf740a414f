package figcommand

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// programVariable makes the test binary run as the program.
const programVariable = "FIGTRAIL_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(Main(context.Background(), os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// serveProcess returns a process of serve and its log.
func serveProcess(t *testing.T) (*exec.Cmd, io.ReadCloser) {
	p := exec.CommandContext(t.Context(), os.Args[0], "serve", "--name=a1", "--data-centre=east", "--platform=127.0.0.1:1",
		"--listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0", "--admin-listen=127.0.0.1:0", "--drain-notice=500ms")
	p.Env = append(os.Environ(), programVariable+"=1")
	log, err := p.StdoutPipe()
	require.NoError(t, err)
	p.Stderr = os.Stderr
	require.NoError(t, p.Start())
	return p, log
}

// A SIGHUP, which serve has no use for, and repeated SIGTERMs must not end the process before it has drained.
func TestServeOutlivesSignals(t *testing.T) {
	p, log := serveProcess(t)
	signals := map[string]syscall.Signal{
		`"starting"`:          syscall.SIGHUP,
		`"nothing to reload;`: syscall.SIGTERM,
		`"draining"`:          syscall.SIGTERM,
		`"already draining;`:  syscall.SIGHUP,
		`"drained"`:           syscall.SIGTERM,
	}
	drained := false
	for lines := bufio.NewScanner(log); lines.Scan(); {
		drained = drained || strings.Contains(lines.Text(), `"drained"`)
		for text, signal := range signals {
			if strings.Contains(lines.Text(), text) {
				delete(signals, text)
				require.NoError(t, p.Process.Signal(signal))
			}
		}
	}
	require.NoError(t, p.Wait())
	require.True(t, drained)
	require.Empty(t, signals)
}

// The end of the process that reads the log must not end the instance.
func TestClosedLogDoesNotEndProcess(t *testing.T) {
	p, log := serveProcess(t)
	_, err := bufio.NewReader(log).ReadString('\n')
	require.NoError(t, err)
	require.NoError(t, log.Close())
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.Wait())
}

package figscript

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/stand/figemulator"
)

const (
	// waitLimit is the timeout of each call, and the limit of waits that have no limit of their own.
	waitLimit = 20 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// firstPort and portCount define the port range of instances. It is below the ephemeral ports, which the
	// kernel assigns to outgoing connections.
	firstPort, portCount = 20_000, 10_000
	// maxLogBytes is the size at which the older half of an instance's kept log is dropped.
	maxLogBytes = 64 << 10
)

// nextPort is the offset of the last port tried. It starts at a value derived from the process ID, so that
// parallel test processes try different ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 97 % portCount) }

// freePort returns a loopback address with a port that no process listens on. This process gets the
// same port again only after all portCount ports.
func freePort() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free TCP port in the port range of script instances")
}

// instance is a process that runs figtrail serve. Its addresses and reader stay the same when it is restarted.
type instance struct {
	row                 figemulator.InstanceRow
	reader              *figemulator.Reader
	caller, peer, admin string
	process             *exec.Cmd
	exited              chan struct{}
	log                 lockedLog
}

// lockedLog keeps the latest output of a process. It is safe for concurrent use.
type lockedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len()+len(p) > maxLogBytes {
		l.buf.Next(l.buf.Len() / 2)
	}
	return l.buf.Write(p)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// logs returns the log and the status page of each instance.
func (f *fleet) logs() string {
	var b strings.Builder
	for name, i := range f.instances {
		fmt.Fprintf(&b, "-- log of %s\n%s-- status of %s\n%s\n", name, i.log.String(), name, i.get("/status"))
	}
	return b.String()
}

// cmdInstance starts or restarts instances and publishes them as live. An instance that still runs must
// be stopped first. The first letter of the name is the data centre: instance a1 drainNotice=200ms
func (f *fleet) cmdInstance(words []string, opts options) error {
	for _, name := range words {
		if err := f.startInstance(name, opts); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startInstance(name string, opts options) error {
	i, ok := f.instances[name]
	if !ok {
		i = &instance{}
		if err := f.prepareInstance(name, i); err != nil {
			return err
		}
		f.instances[name] = i
	}
	program, err := f.program()
	if err != nil {
		return err
	}
	i.process = exec.Command(program, "serve", "--name", name, "--data-centre", i.row.DataCentre,
		"--listen", i.caller, "--peer-listen", i.peer, "--admin-listen", i.admin,
		"--platform", i.reader.Address(), "--drain-notice", opts.or("drainNotice", "200ms"))
	i.process.Stdout, i.process.Stderr = &i.log, &i.log
	if err := i.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.exited = exited
	go func(p *exec.Cmd) { _ = p.Wait(); close(exited) }(i.process)
	i.row.State = "live"
	f.platform.SetInstance(i.row)
	return nil
}

// program returns the path of the figtrail program. testscript puts its directory first in PATH.
func (f *fleet) program() (string, error) {
	for _, dir := range filepath.SplitList(f.searchPath) {
		p := filepath.Join(dir, "figtrail")
		if info, err := os.Stat(p); err == nil && !info.IsDir() {
			return p, nil
		}
	}
	return "", errors.New("program figtrail not found in PATH")
}

// prepareInstance chooses the instance's addresses and starts its reader of the platform. The reader
// replaces the address of every other process by that of a relay, which only this instance uses.
func (f *fleet) prepareInstance(name string, i *instance) error {
	for _, address := range []*string{&i.caller, &i.peer, &i.admin} {
		var err error
		if *address, err = freePort(); err != nil {
			return err
		}
	}
	i.row = figemulator.InstanceRow{Name: name, Address: i.peer, DataCentre: name[:1]}
	var err error
	i.reader, err = f.platform.StartReader(figemulator.ReaderOptions{
		Translate: func(other, address string) string {
			if other == name {
				return address
			}
			r, err := f.relay(name, other, address)
			if err != nil {
				return address
			}
			return r.Address()
		},
	})
	return err
}

// kill kills the process, also if it is paused, and waits until it has exited.
func (i *instance) kill() {
	if i.process == nil || i.process.Process == nil {
		return
	}
	_ = i.process.Process.Signal(syscall.SIGCONT)
	_ = i.process.Process.Kill()
	<-i.exited
}

func (f *fleet) signal(words []string, s syscall.Signal) error {
	for _, name := range words {
		i, ok := f.instances[name]
		if !ok {
			return errors.Newf("no instance named %s", name)
		}
		if err := i.process.Process.Signal(s); err != nil {
			return err
		}
	}
	return nil
}

// cmdCrash kills instances without a graceful shutdown: crash a1
func (f *fleet) cmdCrash(words []string, _ options) error {
	for _, name := range words {
		f.instances[name].kill()
	}
	return nil
}

// cmdPause suspends the processes of instances: pause a1
func (f *fleet) cmdPause(words []string, _ options) error { return f.signal(words, syscall.SIGSTOP) }

// cmdContinue resumes paused instances: continue a1
func (f *fleet) cmdContinue(words []string, _ options) error { return f.signal(words, syscall.SIGCONT) }

// cmdDrain asks instances to shut down gracefully: drain a1
func (f *fleet) cmdDrain(words []string, _ options) error { return f.signal(words, syscall.SIGTERM) }

// cmdExited waits until instances have exited and checks that their exit code is 0: exited a1
func (f *fleet) cmdExited(words []string, _ options) error {
	for _, name := range words {
		i := f.instances[name]
		select {
		case <-i.exited:
		case <-time.After(waitLimit):
			return errors.Newf("instance %s has not exited within the wait limit", name)
		}
		if code := i.process.ProcessState.ExitCode(); code != 0 {
			return errors.Newf("instance %s exited with code %d", name, code)
		}
	}
	return nil
}

// cmdReady waits until instances report that they are ready and answer requests with each key, or
// with those in the option keys: ready a1 keys=coop
func (f *fleet) cmdReady(words []string, opts options) error {
	keys := strings.Split(opts.or("keys", "huber,coop"), ",")
	for _, name := range words {
		i := f.instances[name]
		if err := waitFor(func() error { return i.checkReady() }); err != nil {
			return errors.Wrapf(err, "instance %s", name)
		}
	}
	for _, name := range words {
		for _, key := range keys {
			opts := options{"via": name, "key": key, "path": "/balance", "limit": waitLimit.String()}
			opts["count"] = "4"
			if f.vars["RATE_"+strings.ToUpper(key)] != defaultRate {
				// Repeated batches of several requests would empty the token bucket of an account with a low rate.
				opts["count"] = "1"
			}
			err := f.cmdBecomes([]string{outcomeAnswered}, opts)
			if err != nil {
				return errors.Wrapf(err, "instance %s with key %s", name, key)
			}
		}
	}
	return nil
}

func (i *instance) checkReady() error {
	if answer := i.get("/readyz"); !strings.HasPrefix(answer, "200 ") {
		return errors.Newf("not ready: GET /readyz returned %s", answer)
	}
	return nil
}

// get requests a path of the admin listener and returns the status code and the body, or the error text.
func (i *instance) get(path string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.admin+path, http.NoBody)
	if err != nil {
		return err.Error()
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	b, _ := io.ReadAll(r.Body)
	return fmt.Sprintf("%d %s", r.StatusCode, b)
}

// waitFor is waitWithin with the limit waitLimit.
func waitFor(f func() error) error { return waitWithin(waitLimit, f) }

// waitWithin repeats f until it succeeds. Once limit has passed, it returns the error of the last attempt.
func waitWithin(limit time.Duration, f func() error) error {
	deadline := time.Now().Add(limit)
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		<-poll.C
	}
}

// Package stand holds the stand-ins of the review's scripts: the platform's store, backend servers, callers, and the
// processes of the router, which are started with the command of the deploy file.
//
// # Usage
//
//	func main() { stand.Main(play) }
//
//	func play(record *stand.Record) (int, error) {
//		s, err := stand.NewStore("127.41.0.250:8225")
//		f, err := stand.NewFleet(s, "127.41.0", 3)
//		defer f.Close()
//		err = f.Start()
//	}
package stand

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// playLimit is the longest time of a script.
const playLimit = 115 * time.Second

// Trouble says whether the script makes its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a script and exits with the code that it returns, or ExitFailed for an error. The only argument of the
// program is the folder of the case. At a signal or the time limit it ends the processes that the script has started.
func Main(play func(r *Record) (code int, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(ExitFailed)
	}
	r, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitFailed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-signals:
			r.Say("the case couldn't run: ended by signal %v", s)
		case <-time.After(playLimit):
			r.Say("the case couldn't run: it takes more than %v", playLimit)
		}
		processes.end()
		os.Exit(ExitFailed)
	}()
	code, err := play(r)
	if err != nil {
		r.Say("the case couldn't run: %v", err)
		code = ExitFailed
	}
	processes.end()
	os.Exit(code)
}

// processes holds the processes that this one has started and that haven't ended.
var processes = started{open: map[int]*os.Process{}}

type started struct {
	mu    sync.Mutex
	ended bool
	open  map[int]*os.Process
}

// add notes a process that was started. It ends it at once if the script is over.
func (s *started) add(p *os.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[p.Pid] = p
	if s.ended {
		_ = p.Kill()
	}
}

func (s *started) remove(p *os.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, p.Pid)
}

func (s *started) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, p := range s.open {
		_ = p.Kill()
	}
}

// Record is the file in which a script notes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, begun: time.Now()}, err
}

// Note writes a line with the time since the start.
func (r *Record) Note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// Say writes a line to the file and to standard output.
func (r *Record) Say(format string, arguments ...any) {
	fmt.Printf(format+"\n", arguments...)
	r.Note(format, arguments...)
}

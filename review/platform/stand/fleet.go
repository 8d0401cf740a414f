package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of an instance, each of which has a loopback address of its own.
const (
	frontPort, readyPort, controlPort = "8221", "8224", "8229"
	startTimeout                      = 30 * time.Second
)

// seedCount is the number of machines that a settings file names as seeds.
const seedCount = 3

// MemoryMB is the memory of a machine, as in the small deployments.
const MemoryMB = 134

// Instance is one machine with a process of the router.
type Instance struct {
	Name, IP, Zone string

	fleet   *Fleet
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// Fleet is the machines of a deployment.
type Fleet struct {
	Store     *Store
	Network   string
	Instances []*Instance
	// SourceOf returns the address at which a machine reaches the store; nil for the store's own.
	SourceOf  func(i *Instance) string
	directory string
	command   []string
}

var errNoCommand = errors.New("deploy/system.toml has no command for the router")

// FreeNetwork returns the first three numbers of loopback addresses at which the ports are free.
func FreeNetwork() (string, error) {
	for n := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, (os.Getpid()/200)%250)
		l, err := net.Listen("tcp", network+".1:"+frontPort)
		if err == nil {
			return network, l.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

// NewFleet prepares machines in three zones. The working folder must be that of the repository.
func NewFleet(s *Store, network string, size int) (*Fleet, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if run == nil {
		return nil, errNoCommand
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: s, Network: network, directory: directory, command: strings.Fields(string(run[1]))}
	for n := range size {
		f.Instances = append(f.Instances, &Instance{
			Name: fmt.Sprintf("front-%d", n+1), IP: fmt.Sprintf("%s.%d", network, n+1), Zone: fmt.Sprintf("zone-%c", 'a'+n%3), fleet: f,
		})
	}
	return f, nil
}

// Start starts all machines and waits until they are ready.
func (f *Fleet) Start() error {
	for _, i := range f.Instances {
		if err := i.Start(true); err != nil {
			return err
		}
	}
	for _, i := range f.Instances {
		if err := i.WaitReady(startTimeout); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // the machines find each other
	return nil
}

// Close ends all processes and removes the temporary folder with the logs, unless REVIEW_KEEP is set.
func (f *Fleet) Close() {
	for _, i := range f.Instances {
		i.Kill()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.directory)
	}
}

// Log returns the path of a machine's log.
func (i *Instance) Log() string { return filepath.Join(i.fleet.directory, i.Name+".log") }

// Front returns the address for clients.
func (i *Instance) Front() string { return i.IP + ":" + frontPort }

// settings returns the values of the placeholders of the deploy file.
func (i *Instance) settings(bootstrap bool) map[string]string {
	source := i.fleet.Store.Address()
	if i.fleet.SourceOf != nil {
		source = i.fleet.SourceOf(i)
	}
	return map[string]string{
		"nodeName": i.Name, "zone": i.Zone, "ip": i.IP,
		"listen.front": i.Front(), "listen.control": i.IP + ":" + controlPort, "listen.ready": i.IP + ":" + readyPort,
		"platform.address": source, "bootstrap": fmt.Sprint(bootstrap),
		"limits.memoryMb": fmt.Sprint(MemoryMB), "limits.maxFds": "4100",
		"bounds.budgetRatio": "0.2", "bounds.budgetExtra": "58", "bounds.quotaWindowS": "8", "bounds.quotaOverage": "0.25",
		"bounds.quotaSlack": "190000", "bounds.graceS": "8",
	}
}

func (i *Instance) settingsFile() string { return filepath.Join(i.fleet.directory, i.Name+".json") }

// WriteSeeds writes a settings file of the machine that names the first three of these machines as seeds.
func (i *Instance) WriteSeeds(machines ...*Instance) error {
	seeds := make([]string, 0, seedCount)
	for _, s := range machines[:min(seedCount, len(machines))] {
		seeds = append(seeds, s.IP+":"+controlPort)
	}
	text, err := json.Marshal(map[string]any{"seeds": seeds})
	if err != nil {
		return err
	}
	// The file is replaced at once, so that no half of it is read.
	if err := os.WriteFile(i.settingsFile()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(i.settingsFile()+".new", i.settingsFile())
}

// Start starts the process of the machine with the command of the deploy file.
func (i *Instance) Start(bootstrap bool) error {
	file := i.settingsFile()
	if _, err := os.Stat(file); err != nil {
		if err := i.WriteSeeds(i.fleet.Instances...); err != nil {
			return err
		}
	}
	words := make([]string, 0, len(i.fleet.command))
	for _, word := range i.fleet.command {
		for name, value := range i.settings(bootstrap) {
			word = strings.ReplaceAll(word, "{{"+name+"}}", value)
		}
		// The settings file lies in the temporary folder.
		words = append(words, strings.ReplaceAll(word, "/etc/figtrail/local.json", file))
	}
	log, err := os.OpenFile(i.Log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := exec.Command(words[0], words[1:]...)
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return err
	}
	processes.add(p.Process)
	ended := make(chan struct{})
	i.mu.Lock()
	i.process, i.ended = p, ended
	i.mu.Unlock()
	go func() {
		_ = p.Wait()
		processes.remove(p.Process)
		close(ended)
	}()
	return nil
}

// WaitReady waits until the machine is ready.
func (i *Instance) WaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		a, err := client.Get("http://" + i.IP + ":" + readyPort + "/api/readyz")
		if err != nil {
			continue
		}
		_ = a.Body.Close()
		if a.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", i.Name)
}

// PID returns the id of the process; 0 if it has ended.
func (i *Instance) PID() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return 0
	}
	select {
	case <-i.ended:
		return 0
	default:
		return i.process.Process.Pid
	}
}

// Signal sends a signal to the process if it still runs.
func (i *Instance) Signal(s syscall.Signal) {
	if pid := i.PID(); pid != 0 {
		_ = syscall.Kill(pid, s)
	}
}

// WaitEnd waits until the process has ended, and kills it after a time limit as the platform does.
func (i *Instance) WaitEnd(limit time.Duration) {
	for end := time.Now().Add(limit); i.PID() != 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	i.Kill()
}

// Kill ends the process and waits for its end.
func (i *Instance) Kill() {
	i.Signal(syscall.SIGKILL)
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

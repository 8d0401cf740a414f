package figscript

import (
	"encoding/hex"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/limit/figkey"
	"figtrail.dev/figtrail/internal/stand/figemulator"
)

// defaultRate is the default rate of a client account in tokens per second, and its default
// burst in tokens.
const defaultRate = "200000"

// fleet holds the processes, declarations and calls of one script.
type fleet struct {
	// tree holds the default declarations, with variables of the form $NAME.
	tree fs.FS
	// searchPath is the script's PATH.
	searchPath string
	platform   *figemulator.Platform
	savedState *figemulator.Snapshot
	keys       map[string]figkey.GeneratedKey
	vars       map[string]string
	servers    map[string]*server
	instances  map[string]*instance
	calls      map[string][]*call
	loads      map[string]*loadRun

	// mu guards relays: the readers of the platform add relays from goroutines of their own.
	// The key is the names of the connecting and the accepting process.
	mu     sync.Mutex
	relays map[[2]string]*figemulator.Relay
}

// server is an emulated backend server. Exactly one of engine and plain is set.
type server struct {
	row    figemulator.ServerRow
	engine *figemulator.Engine
	plain  *figemulator.PlainService
}

func newFleet(tree fs.FS) (*fleet, error) {
	p, err := figemulator.StartPlatform(figemulator.PlatformOptions{})
	if err != nil {
		return nil, err
	}
	f := &fleet{
		platform:  p,
		tree:      tree,
		keys:      map[string]figkey.GeneratedKey{},
		vars:      map[string]string{"OUT_A": "false", "OUT_B": "false", "OUT_C": "false"},
		servers:   map[string]*server{},
		instances: map[string]*instance{},
		calls:     map[string][]*call{},
		loads:     map[string]*loadRun{},
		relays:    map[[2]string]*figemulator.Relay{},
	}
	for _, name := range []string{"huber", "coop"} {
		k, err := figkey.New()
		if err != nil {
			return nil, err
		}
		f.keys[name] = k
		upper := strings.ToUpper(name)
		f.vars["ID_"+upper] = k.ID
		f.vars["SALT_"+upper] = hex.EncodeToString(k.Salt)
		f.vars["HASH_"+upper] = hex.EncodeToString(k.Hash)
		f.vars["WITHDRAWN_"+upper] = "false"
		f.vars["RATE_"+upper] = defaultRate
		f.vars["BURST_"+upper] = defaultRate
	}
	// The forged key has the ID of one key and the secret of another.
	public, _, _ := strings.Cut(f.keys["huber"].Text, f.keys["huber"].ID)
	_, secret, _ := strings.Cut(f.keys["coop"].Text, f.keys["coop"].ID)
	f.keys["forged"] = figkey.GeneratedKey{Text: public + f.keys["huber"].ID + secret}
	return f, nil
}

func (f *fleet) close() {
	for _, r := range f.loads {
		r.cancel()
	}
	for _, i := range f.instances {
		i.kill()
	}
	for _, group := range f.calls {
		for _, c := range group {
			c.cancel()
		}
	}
	for _, s := range f.servers {
		_ = s.close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.relays {
		_ = r.Close()
	}
	_ = f.platform.Close()
}

// cmdFleet publishes the default declarations, starts the default servers if the script has not
// started any, starts the named instances, and waits until each of them answers requests of each
// client account: fleet a1 b1
func (f *fleet) cmdFleet(words []string, _ options) error {
	if err := f.publishChanged(); err != nil {
		return err
	}
	if len(f.servers) == 0 {
		for _, name := range []string{"p1", "p2", "d1", "d2", "t1", "t2"} {
			if err := f.cmdServer([]string{name}, options{}); err != nil {
				return err
			}
		}
	}
	for _, name := range words {
		if err := f.cmdInstance([]string{name}, options{}); err != nil {
			return err
		}
	}
	return f.cmdReady(words, options{})
}

// cmdSet sets variables of the default declarations and publishes the declarations that change:
// set WITHDRAWN_HUBER=true
func (f *fleet) cmdSet(_ []string, opts options) error {
	for name, value := range opts {
		f.vars[name] = value
	}
	return f.publishChanged()
}

// publishChanged publishes the default declarations whose expanded text differs from the last published one.
func (f *fleet) publishChanged() error {
	return fs.WalkDir(f.tree, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := fs.ReadFile(f.tree, name)
		if err != nil {
			return err
		}
		f.publish(strings.TrimSuffix(name, ".yaml"), string(text))
		return nil
	})
}

// publish expands the variables in text and publishes the result, unless it is already published at path.
func (f *fleet) publish(path, text string) {
	text = os.Expand(text, func(name string) string { return f.vars[name] })
	if last, ok := f.vars["published "+path]; ok && last == text {
		return
	}
	f.vars["published "+path] = text
	f.platform.Publish(path, text)
}

// cmdPublish publishes a declaration at a path; \n in the text is a line break:
// publish huber/accounts 'text'
func (f *fleet) cmdPublish(words []string, _ options) error {
	f.publish(words[0], strings.ReplaceAll(words[1], `\n`, "\n"))
	return nil
}

// roles maps the first letter of a server's name to the server's role and pool.
var roles = map[byte][2]string{'p': {"prefill", "summary"}, 'd': {"decode", "summary"}, 't': {"plain", "ledger"}}

// cmdServer starts an emulated backend server and publishes it as live. The first letter of the
// name is the role (p: prefill, d: decode, t: plain). The number after it selects the data centre:
// 1 is a, 2 is b, 3 is c, 4 is a again; the option dc overrides it:
// server d1 interval=10ms batch=4 pieces=10 cold=true
func (f *fleet) cmdServer(words []string, opts options) error {
	name := words[0]
	role := roles[name[0]]
	number, err := strconv.Atoi(name[1:])
	if err != nil {
		return err
	}
	s := &server{}
	if err := s.start(name, role[0], opts); err != nil {
		return err
	}
	s.row = figemulator.ServerRow{
		Name: name, Address: s.address(), DataCentre: opts.or("dc", string(rune('a'+(number-1)%3))),
		Pool: role[1], Role: role[0], State: "live", StartedAt: s.startedAt().Format(time.RFC3339Nano),
	}
	f.servers[name] = s
	f.platform.SetServer(s.row)
	return nil
}

func (s *server) start(name, role string, opts options) error {
	number := func(key string) int { n, _ := strconv.Atoi(opts[key]); return n }
	duration := func(key string) time.Duration { d, _ := time.ParseDuration(opts[key]); return d }
	var err error
	if role == "plain" {
		s.plain, err = figemulator.StartPlainService(figemulator.PlainOptions{
			Name: name, ServiceTime: duration("interval"), Batch: number("batch"),
			ColdStart: opts["cold"] == "true",
		})
		return err
	}
	s.engine, err = figemulator.StartEngine(figemulator.EngineOptions{
		Name: name, Role: role, Models: []string{"summary"},
		TokenInterval: duration("interval"), Batch: number("batch"), Pieces: number("pieces"),
		ColdStart: opts["cold"] == "true", ResultTTL: duration("life"),
		PrefillRate: float64(number("prefillRate")), ChecksFence: opts["checksFence"] == "true",
	})
	return err
}

func (s *server) address() string {
	if s.plain != nil {
		return s.plain.Address()
	}
	return s.engine.Address()
}

func (s *server) startedAt() time.Time {
	if s.plain != nil {
		return s.plain.StartedAt()
	}
	return s.engine.StartedAt()
}

func (s *server) close() error {
	if s.plain != nil {
		return s.plain.Close()
	}
	return s.engine.Close()
}

func (s *server) faults() *figemulator.Faults {
	if s.plain != nil {
		return &s.plain.Faults
	}
	return &s.engine.Faults
}

// server returns the server with that name, or an error if there is none.
func (f *fleet) server(name string) (*server, error) {
	s, ok := f.servers[name]
	if !ok {
		return nil, errors.Newf("no server named %s", name)
	}
	return s, nil
}

// cmdState publishes a new state of a server or an instance: state d1 leaving
func (f *fleet) cmdState(words []string, _ options) error {
	if s, ok := f.servers[words[0]]; ok {
		s.row.State = words[1]
		f.platform.SetServer(s.row)
		return nil
	}
	i, ok := f.instances[words[0]]
	if !ok {
		return errors.Newf("no server or instance named %s", words[0])
	}
	i.row.State = words[1]
	f.platform.SetInstance(i.row)
	return nil
}

// cmdPlatform injects and ends faults of the platform for the named instances, by default for all:
//   - down answers with status 503 and silent not at all; up ends both.
//   - stale ignores changes from now on, old serves the state saved by mark; fresh ends both.
//   - mark saves the current state for old.
//
// The form is:
// platform down|up|stale|fresh|silent|mark|old [instance…]
func (f *fleet) cmdPlatform(words []string, _ options) error {
	if words[0] == "mark" {
		f.savedState = f.platform.Snapshot()
		return nil
	}
	names := words[1:]
	if len(names) == 0 {
		for name := range f.instances {
			names = append(names, name)
		}
	}
	for _, name := range names {
		i, ok := f.instances[name]
		if !ok {
			return errors.Newf("no instance named %s", name)
		}
		switch r := i.reader; words[0] {
		case "up", "down":
			r.Silent(false)
			r.Down(words[0] == "down")
		case "stale", "fresh":
			r.Stale(words[0] == "stale")
		case "old":
			r.Rewind(f.savedState)
		case "silent":
			r.Silent(true)
		default:
			return errors.Newf("unknown platform command %s", words[0])
		}
	}
	return nil
}

// cmdFault injects a fault into servers: fault stall d1 d2 count=1 for=2s delay=1s,
// or ends it: fault clear stall d1
func (f *fleet) cmdFault(words []string, opts options) error {
	remove := words[0] == "clear"
	if remove {
		words = words[1:]
	}
	kind := figemulator.FaultKind(words[0])
	count, _ := strconv.Atoi(opts["count"])
	length, _ := time.ParseDuration(opts["for"])
	delay, _ := time.ParseDuration(opts["delay"])
	for _, name := range words[1:] {
		s, err := f.server(name)
		if err != nil {
			return err
		}
		if remove {
			s.faults().Clear(kind)
			continue
		}
		s.faults().Set(figemulator.Fault{Kind: kind, Count: count, For: length, Delay: delay})
	}
	return nil
}

// cmdRestart emulates a crash and restart of engines: KV cache lost, streams cut, cold start: restart d1
func (f *fleet) cmdRestart(words []string, _ options) error {
	for _, name := range words {
		s, err := f.server(name)
		if err != nil {
			return err
		}
		s.engine.Restart()
	}
	return nil
}

// relay returns the relay for connections that the process from opens to the process to. It starts
// the relay if there is none, and otherwise makes address the target of its new connections.
func (f *fleet) relay(from, to, address string) (*figemulator.Relay, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := [2]string{from, to}
	if r, ok := f.relays[k]; ok {
		r.SetTarget(address)
		return r, nil
	}
	r, err := figemulator.StartRelay(address)
	if err == nil {
		f.relays[k] = r
	}
	return r, err
}

// cmdNetwork changes the connections that the processes in the first list open to those in the
// second list, but not those opened in the other direction:
//   - partition drops all traffic in both directions of these connections; heal ends it.
//   - silence permanently drops the traffic of the open connections; new connections work.
//   - cut closes the open connections.
//
// Example:
// network partition a1 b1,d1
func (f *fleet) cmdNetwork(words []string, _ options) error {
	for _, from := range strings.Split(words[1], ",") {
		for _, to := range strings.Split(words[2], ",") {
			r, err := f.relayBetween(from, to)
			if err != nil {
				return err
			}
			switch words[0] {
			case "partition", "heal":
				r.Partition(words[0] == "partition")
			case "silence":
				r.DropOpenConnections()
			case "cut":
				r.Cut()
			default:
				return errors.Newf("unknown network command %s", words[0])
			}
		}
	}
	return nil
}

// relayBetween returns the relay for connections that the process from opens to the instance or server to.
func (f *fleet) relayBetween(from, to string) (*figemulator.Relay, error) {
	if i, ok := f.instances[to]; ok {
		return f.relay(from, to, i.peer)
	}
	s, err := f.server(to)
	if err != nil {
		return nil, err
	}
	return f.relay(from, to, s.address())
}

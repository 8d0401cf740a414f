package figplace

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	enginePieces = 40
	// cleanupTime bounds the time from the end of all requests until all memory is free. The slowest case is
	// a request whose holder is listed but doesn't answer.
	cleanupTime = figowner.SilentHolderTimeout + 5*time.Second
)

// work is a placed request. While it is running, it holds memory on its decode server.
type work struct {
	*Placement
	id, entry string
	running   bool
}

// world is a fleet with engines that keep working on a request whose caller or instance is gone.
type world struct {
	*fleet
	t           *rapid.T
	engines     map[string]map[string]int64
	live        map[string]*work
	nextReports map[string][]figowner.Running
	count       int
	// ownersUnchanged says that no server has changed its owner since the start.
	ownersUnchanged bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		fleet: newFleet(4, 10), t: t, ownersUnchanged: true,
		engines: map[string]map[string]int64{}, live: map[string]*work{},
	}
	for _, s := range w.servers.All {
		w.engines[s.Name] = map[string]int64{}
	}
	w.warmUp()
	return w
}

// tick advances the clock by 500 ms: owners get the reports of the previous tick and cancel requests without
// a lease, and instances flush.
func (w *world) tick() {
	w.now = w.now.Add(500 * time.Millisecond)
	for _, s := range w.servers.All {
		m, ok := figowner.OwnerOf(w.view, s)
		if !ok || w.down[m.Name] {
			continue
		}
		free := int64(enginePieces)
		for _, x := range w.nextReports[s.Name] {
			free -= x.Pieces
		}
		cancels := w.owners[m.Name].RecordPoll(s.Name, &figowner.Report{
			StartedAt: testStart.Add(-time.Hour), Age: 500 * time.Millisecond,
			PiecesTotal: enginePieces, PiecesFree: free, Running: w.nextReports[s.Name],
		}, nil)
		for _, id := range cancels {
			delete(w.engines[s.Name], id)
		}
	}
	w.nextReports = map[string][]figowner.Running{}
	for server, held := range w.engines {
		for id, pieces := range held {
			w.nextReports[server] = append(w.nextReports[server], figowner.Running{ID: id, Pieces: pieces, Tokens: 1})
		}
	}
	for _, m := range w.view.Members {
		w.placers[m.Name].Flush(w.t.Context())
	}
}

func (w *world) used(server string) int64 {
	n := int64(0)
	for _, p := range w.engines[server] {
		n += p
	}
	return n
}

func (w *world) member(t *rapid.T) string {
	return w.view.Members[rapid.IntRange(0, len(w.view.Members)-1).Draw(t, "member")].Name
}

func (w *world) pickWork(t *rapid.T) *work {
	if len(w.live) == 0 {
		t.Skip("no placed request")
	}
	ids := make([]string, 0, len(w.live))
	for id := range w.live {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return w.live[rapid.SampledFrom(ids).Draw(t, "id")]
}

func (w *world) placeRequest(t *rapid.T) {
	w.count++
	r := request(fmt.Sprint("r", w.count))
	r.PromptTokens = rapid.Int64Range(100, 20000).Draw(t, "prompt")
	entry := w.member(t)
	x, err := w.placers[entry].Place(t.Context(), r)
	if err != nil {
		return
	}
	k := &work{Placement: x, id: r.ID, entry: entry}
	w.live[k.id] = k
	if rapid.Bool().Draw(t, "start") {
		w.start(t, k)
	}
}

// start runs the request on its decode server. A server refuses a request for which it has no room, which
// must happen only after its owner has changed.
func (w *world) start(t *rapid.T, k *work) {
	if k.running || !k.DecodeLeaseValid() {
		return
	}
	pieces := (k.request.PromptTokens + k.request.OutputTokens + 2047) / 2048
	if w.used(k.Decode.Name)+pieces > enginePieces {
		require.False(t, w.ownersUnchanged, "server has no room for a reserved request")
		k.ReportFailure(k.Decode.Name, figowner.Refused)
		w.endWork(k, false)
		return
	}
	k.PrefillDone(k.request.PromptTokens, 100*time.Millisecond)
	w.engines[k.Decode.Name][k.id] = pieces
	k.running = true
}

// endWork ends a request at its instance. If noticed is false, the engine keeps working on it.
func (w *world) endWork(k *work, noticed bool) {
	delete(w.live, k.id)
	if noticed {
		delete(w.engines[k.Decode.Name], k.id)
		k.SetGeneratedTokens(k.request.OutputTokens)
	}
	k.Release()
}

// leave removes an instance and its requests from the list.
func (w *world) leave(name string) {
	for id, k := range w.live {
		if k.entry == name {
			delete(w.live, id)
		}
	}
	w.view = figview.NewView(w.view.Version+1, slices.DeleteFunc(slices.Clone(w.view.Members), func(m figview.Member) bool {
		return m.Name == name
	}))
	w.ownersUnchanged = false
}

func (w *world) join(name, dataCentre string) {
	m := figview.Member{Name: name, DataCentre: dataCentre}
	w.view = figview.NewView(w.view.Version+1, append(slices.Clone(w.view.Members), m))
	w.owners[name] = w.newOwner(name)
	w.placers[name] = w.newPlacer(m, uint64(w.count))
	w.ownersUnchanged = false
}

func oneInFive(t *rapid.T) bool { return rapid.IntRange(0, 4).Draw(t, "rarely") == 0 }

// Instances join, leave, stop answering and lose replies. Meanwhile no running request is cancelled, and no
// server is asked for more memory than it has while its owner stays the same. In the end, no lease and no
// memory on a server is left.
func TestFleetLeavesNothingBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"place":         w.placeRequest,
			"place another": w.placeRequest,
			"start":         func(t *rapid.T) { w.start(t, w.pickWork(t)) },
			"finish":        func(t *rapid.T) { w.endWork(w.pickWork(t), true) },
			"caller leaves": func(t *rapid.T) { w.endWork(w.pickWork(t), false) },
			"replies get lost": func(t *rapid.T) {
				w.loseReplies = oneInFive(t)
			},
			"instance falls silent": func(t *rapid.T) {
				if name := w.member(t); oneInFive(t) && !w.down[name] {
					w.down[name] = true
				}
			},
			"instance is heard": func(*rapid.T) { clear(w.down) },
			"instance leaves": func(t *rapid.T) {
				if len(w.view.Members) > 1 && oneInFive(t) {
					w.leave(w.member(t))
				}
			},
			"instance joins": func(t *rapid.T) {
				if len(w.view.Members) < 4 && oneInFive(t) {
					w.count++
					w.join(fmt.Sprint("new", w.count), "b")
				}
			},
			"time passes": func(*rapid.T) { w.tick() },
			"": func(t *rapid.T) {
				for server := range w.engines {
					require.LessOrEqual(t, w.used(server), int64(enginePieces))
				}
				for _, k := range w.live {
					require.Equal(t, k.running, w.engines[k.Decode.Name][k.id] > 0, "a running request was cancelled")
				}
			},
		})
		clear(w.down)
		w.loseReplies = false
		for _, k := range w.live {
			w.endWork(k, false)
		}
		for range int(cleanupTime / (500 * time.Millisecond)) {
			w.tick()
		}
		for server, held := range w.engines {
			require.Empty(t, held, server)
		}
		for _, m := range w.view.Members {
			for _, s := range w.owners[m.Name].Status() {
				require.Zero(t, s.Leases, s.Server)
				require.Zero(t, s.Strays, s.Server)
				if s.Role == "decode" {
					require.Equal(t, s.Total, s.Free)
				}
			}
		}
	})
}

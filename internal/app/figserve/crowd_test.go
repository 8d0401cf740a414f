package figserve_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcwire"

	"figtrail.dev/figtrail/internal/app/figfleet"
	"figtrail.dev/figtrail/internal/stand/figcrowd"
	"figtrail.dev/figtrail/internal/stand/figemulator"
	"figtrail.dev/figtrail/internal/stand/figknown"
)

const (
	// crowdMemoryLimit is the soft memory limit of the instance, in bytes, and crowdMemoryMB the bound of its resident
	// memory, which the limit doesn't cover as a whole.
	crowdMemoryLimit = 64 << 20
	crowdMemoryMB    = 96
	// crowdClients is the number of clients that send bodies of crowdBodyBytes.
	crowdClients   = 48
	crowdBodyBytes = 4 << 20
	// crowdHangLimit only ends a test whose instance answers nothing at all.
	crowdHangLimit = 90 * time.Second
)

// sendBlocks sends a head and a body in blocks, until the connection is closed.
func sendBlocks(c net.Conn, head, block string) {
	_, err := io.WriteString(c, head)
	for sent := 0; err == nil && sent < crowdBodyBytes-len(block); sent += len(block) {
		_, err = io.WriteString(c, block)
	}
}

// Clients that the operators don't control must not make an instance exceed its memory, nor keep it from answering an
// ordinary request.
func TestServeCrowd(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("reads /proc")
	}
	if figcrowd.RaceEnabled {
		t.Skip("the race detector takes several times the memory")
	}
	head := func(field string) string { return "POST /ledger/balance HTTP/1.1\r\nHost: h\r\n" + field + "\r\n\r\n" }
	block := strings.Repeat("x", 64<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
	part := drpcwire.Frame{Data: []byte(block), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke}
	for _, c := range []struct {
		name    string
		address func(c *child) string
		play    func(c net.Conn)
	}{
		{"chunked bodies that stop short", (*child).callerAddress, func(c net.Conn) { sendBlocks(c, head("Transfer-Encoding: chunked"), chunk) }},
		{"announced bodies that stop short", (*child).callerAddress, func(c net.Conn) {
			sendBlocks(c, head(fmt.Sprintf("Content-Length: %d", crowdBodyBytes)), block)
		}},
		{"parts of messages to the peer port", (*child).peerAddress, func(c net.Conn) {
			sendBlocks(c, "", string(drpcwire.AppendFrame(nil, part)))
		}},
		{"bodies to the admin port", (*child).adminAddress, func(c net.Conn) {
			sendBlocks(c, head(fmt.Sprintf("Content-Length: %d", crowdBodyBytes)), block)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			figknown.SkipListed(t, "../../..")
			f := newFixture(t, figfleet.Plan{})
			i := startChild(t, f, crowdMemoryLimit)
			answers := func() bool { return get("http://"+i.callers+"/ledger/balance", f.key.Text) == http.StatusOK }
			f.eventually(answers)
			p := figcrowd.Watch(t, i.Pid)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			w := figcrowd.Crowd{Clients: crowdClients, Play: c.play}
			w.Start(ctx, t, c.address(i))
			require.Eventually(t, answers, crowdHangLimit, 200*time.Millisecond)
			p.RequireWithin(crowdMemoryMB, 512)
		})
	}
}

// Servers whose events don't end must not make an instance exceed its memory when callers want the answer as a whole.
func TestServeCrowdOfCollectedAnswers(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("reads /proc")
	}
	if figcrowd.RaceEnabled {
		t.Skip("the race detector takes several times the memory")
	}
	f := newFixture(t, figfleet.Plan{Engines: []figfleet.EnginePlan{enginePair}})
	i := startChild(t, f, crowdMemoryLimit)
	f.eventually(func() bool { return f.answersModel(i.callers) })
	f.decode().Faults.Set(figemulator.Fault{Kind: figemulator.Endless})
	p := figcrowd.Watch(t, i.Pid)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	w := figcrowd.Crowd{Clients: crowdClients, Rounds: 2, Play: func(c net.Conn) {
		_, _ = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Api-Key: "+f.key.Text+
			fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(modelBody), modelBody))
	}}
	go w.Start(ctx, t, i.callers)
	f.eventually(func() bool { return f.decode().Faults.Hits(figemulator.Endless) >= crowdClients })
	<-time.After(5 * time.Second) // the crowd never settles; this only lets it grow
	require.Eventually(t, func() bool { return get("http://"+i.callers+"/ledger/balance", f.key.Text) == http.StatusOK }, crowdHangLimit, pollInterval)
	p.RequireWithin(crowdMemoryMB, 512)
}

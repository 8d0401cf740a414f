package figcatalogue

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// snapshotMessage returns a message in which no field is zero and no two fields of
// one struct have the same value, booleans aside.
func snapshotMessage() *Snapshot {
	return &Snapshot{
		Revision: 71,
		Declarations: &figroute.Declarations{
			Version: 9,
			Routes: []figroute.Route{{
				Name: "chat", Host: "api.example", Prefix: "/v1/", Kind: figroute.ResumableStream,
				Shares:    []figroute.Share{{Pool: "large", Weight: 90}},
				TimeLimit: 30 * time.Second, LatencyTarget: 2 * time.Second, MaxServers: 4, Priority: 1, NoKeyRequired: true,
			}},
			Pools: []figroute.Pool{{
				Name: "large", MaxConnections: 64, ColdStartRate: 2.5,
				Engine: &figroute.Engine{MemoryTokens: 200000, Slots: 32, TokensPerEvent: 5, ResultTTL: 7 * time.Second},
			}},
			Accounts: []figroute.Account{{
				Name: "tenant", Keys: []figroute.Digest{{0: 0xa1, 31: 0xb2}}, Priority: 3, HasPriority: true,
				Rate: 100.5, Burst: 250.25, CountsTokens: true, DefaultTokens: 40,
			}},
			KeysRequired: true,
			Limits:       figroute.Limits{HeaderBytes: 16384, BodyBytes: 1048576},
		},
		Servers: []SnapshotServer{{
			Server: figview.Server{
				Name: "engine-1", Address: "10.0.0.1:8000", DataCentre: "east", Pool: "large",
				Role: figview.Decode, State: figview.Leaving, StartedAt: time.Unix(1700000000, 0),
			},
			Slots: 24, ColdStartRemaining: 11 * time.Second,
		}},
		DrainedDataCentres: []string{"west"},
		Epoch:              5,
		DeclarationsEpoch:  4,
		Doubted:            map[string]time.Duration{"engine-1": 2 * time.Second},
		Departed:           []Departure{{Name: "engine-2", LatestMillis: 1700000000123, AnnouncedMillis: 1600000000123, Epoch: 3, Age: 9 * time.Second}},
		EpochAge:           8 * time.Second,
		HeardAge:           7 * time.Second,
		KeptLeaving:        []string{"engine-1"},
		KeptDataCentres:    []string{"south"},
	}
}

// Instances of neighbouring versions exchange Snapshot, whose nested structs are
// encoded as maps with text keys. A field that is renamed without a tag that keeps
// its key would be lost between two versions, without an error on either side.
func TestSnapshotKeysOnTheWire(t *testing.T) {
	keys := map[any]any{
		uint64(1): uint64(71),
		uint64(2): map[any]any{
			"Version": uint64(9),
			"Routes": []any{map[any]any{
				"Name": "chat", "Host": "api.example", "Prefix": "/v1/", "Kind": uint64(3),
				"Shares":    []any{map[any]any{"Pool": "large", "Weight": uint64(90)}},
				"TimeLimit": uint64(30e9), "Target": uint64(2e9), "Servers": uint64(4), "Priority": uint64(1), "Open": true,
			}},
			"Pools": []any{map[any]any{
				"Name": "large", "Connections": uint64(64), "ColdRate": 2.5,
				"Engine": map[any]any{
					"MemoryTokens": uint64(200000), "Slots": uint64(32), "EventTokens": uint64(5), "ResultLife": uint64(7e9),
				},
			}},
			"Accounts": []any{map[any]any{
				"Name": "tenant", "Keys": []any{append(append([]byte{0xa1}, make([]byte, 30)...), 0xb2)},
				"Priority": uint64(3), "HasPriority": true,
				"Rate": 100.5, "Burst": 250.25, "CountsTokens": true, "PlainTokens": uint64(40),
			}},
			"KeysRequired": true,
			"Limits":       map[any]any{"HeaderBytes": uint64(16384), "BodyBytes": uint64(1048576)},
		},
		// The fields of figview.Server stand beside those of SnapshotServer.
		uint64(3): []any{map[any]any{
			"Name": "engine-1", "Address": "10.0.0.1:8000", "DataCentre": "east", "Pool": "large",
			"Role": uint64(2), "State": uint64(1), "StartedAt": uint64(1700000000),
			"Slots": uint64(24), "ColdLeft": uint64(11e9),
		}},
		uint64(4): []any{"west"},
		uint64(5): uint64(5),
		uint64(6): uint64(4),
		uint64(7): map[any]any{"engine-1": uint64(2e9)},
		uint64(8): []any{"engine-1"},
		uint64(9): []any{map[any]any{
			uint64(1): "engine-2", uint64(2): uint64(1700000000123), uint64(3): uint64(1600000000123), uint64(4): uint64(3), uint64(5): uint64(9e9),
		}},
		uint64(10): uint64(8e9),
		uint64(11): uint64(7e9),
		uint64(12): []any{"south"},
	}

	encoded, err := cbor.Marshal(snapshotMessage())
	require.NoError(t, err)
	var generic any
	require.NoError(t, cbor.Unmarshal(encoded, &generic))
	require.Equal(t, keys, generic)

	var decoded Snapshot
	require.NoError(t, cbor.Unmarshal(encoded, &decoded))
	require.Equal(t, snapshotMessage(), &decoded)
}

// A server must keep its lifetime on the way to another instance, in a snapshot and in a change: otherwise the
// instances take one run of a server for two.
func TestLifetimeOnTheWire(t *testing.T) {
	now := time.Unix(1700000100, 0)
	sent := server("a", 1700000000123)
	sent.ColdStartEnd = now.Add(3 * time.Second)
	c := newCatalogueAt(&now)
	c.Apply([]Change{{Declarations: version(1)}, {Server: &sent}}, at(1))
	c.Apply([]Change{{Server: &sent}}, at(2))
	for _, after := range []uint64{0, 1} {
		encoded, err := cbor.Marshal(c.changesAfter(at(after)))
		require.NoError(t, err)
		var decoded FollowAnswer
		require.NoError(t, cbor.Unmarshal(encoded, &decoded))
		other := newCatalogueAt(&now)
		other.applyAnswer(&decoded)
		got, ok := other.View().Find("p", sent.Lifetime())
		require.True(t, ok)
		require.True(t, got.ColdStartEnd.Equal(sent.ColdStartEnd))
	}
}

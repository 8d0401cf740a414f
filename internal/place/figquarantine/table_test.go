package figquarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	pool     = "models"
	common   = "common"
	document = "document"
	harmful  = "harmful"
)

// step is something that an instance sees: after a pause, the end of a server or, without one, an answer.
type step struct {
	pause  time.Duration
	server string
	parts  []string
}

func TestQuarantinedParts(t *testing.T) {
	prompt := []string{common, document, harmful}
	crashes := func(parts ...string) []step {
		return []step{{0, "s1", parts}, {0, "s2", parts}, {0, "s3", parts}}
	}
	for _, c := range []struct {
		name  string
		steps []step
		want  []string
	}{
		{"no evidence", nil, []string{}},
		{"too few crashes", []step{{0, "s1", prompt}, {0, "s2", prompt}}, []string{}},
		{"one server", []step{{0, "s1", prompt}, {0, "s1", prompt}, {0, "s1", prompt}}, []string{}},
		{"the last of the parts in common", crashes(prompt...), []string{harmful}},
		{"the only part in common", []step{
			{0, "s1", []string{common, harmful}},
			{0, "s2", []string{common, document, harmful}},
			{0, "s3", []string{common, harmful, document}},
		}, []string{harmful}},
		{"a harmful first part", []step{
			{0, "s1", []string{harmful, document}},
			{0, "s2", []string{harmful, common}},
			{0, "s3", []string{harmful}},
		}, []string{harmful}},
		{"harmless prompts beside harmful ones", []step{
			{0, "s1", []string{common, harmful}},
			{0, "s1", []string{common, document}},
			{0, "s2", []string{common, harmful}},
			{0, "s2", []string{common, document}},
			{0, "s3", []string{common, document}},
			{0, "s3", []string{common, harmful}},
			{0, "s4", []string{common, harmful}},
		}, []string{harmful}},
		{"two harmful parts", append(crashes(common, harmful),
			step{0, "s4", []string{common, document}},
			step{0, "s5", []string{common, document}},
			step{0, "s6", []string{common, document}}), []string{document, harmful}},
		{"a crash for another reason", append(crashes(common, harmful),
			step{0, "s4", []string{common, harmful}},
			step{0, "s5", []string{common, document}}), []string{harmful}},
		{"an answer afterwards", append(crashes(common), step{0, "", []string{common}}), []string{}},
		{"answers between crashes", []step{
			{0, "s1", []string{common}},
			{0, "s2", []string{common}},
			{0, "", []string{common}},
			{3 * time.Second, "s3", []string{common}},
		}, []string{}},
		{"an answer shortly before", append([]step{{0, "", []string{common}}}, crashes(common)...), []string{}},
		{"an answer long before", append([]step{{0, "", []string{common}}, {trustTime, "s0", nil}}, crashes(common)...), []string{common}},
		{"an answer on another prompt", append(crashes(common, harmful), step{0, "", []string{common}}), []string{harmful}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, now := NewTable(), time.Now()
			for _, s := range c.steps {
				now = now.Add(s.pause)
				if s.server == "" {
					table.RecordAnswer(now, pool, s.parts, time.Second)
				} else {
					table.RecordCrash(now, pool, s.server, s.parts, 0)
				}
			}
			require.Equal(t, c.want, table.Quarantined(now.Add(settleTime)))
		})
	}
}

// Other instances may have seen answers on a part, and need some time to tell.
func TestQuarantineBeginsLater(t *testing.T) {
	table, now := NewTable(), time.Now()
	for i := range crashThreshold {
		table.RecordCrash(now, pool, fmt.Sprint(i), []string{harmful}, 0)
	}
	require.Nil(t, table.Find(now.Add(settleTime-time.Millisecond), []string{harmful}))
	finding := table.Find(now.Add(settleTime), []string{common, harmful})
	require.NotNil(t, finding)
	require.Equal(t, harmful, finding.Part)
	require.Equal(t, trialDelay-settleTime, finding.Wait)
}

// An instance that learns of a quarantine late must not wait for answers once more, unless it knows of one.
func TestEvidenceSettlesOnce(t *testing.T) {
	table, now := NewTable(), time.Now()
	for i := range crashThreshold {
		table.RecordCrash(now, pool, fmt.Sprint(i), []string{common, harmful}, 0)
	}
	now = now.Add(settleTime)
	late, witness := NewTable(), NewTable()
	late.Merge(now, table.Records(now))
	require.Equal(t, []string{harmful}, late.Quarantined(now))
	witness.RecordAnswer(now, pool, []string{common, harmful}, time.Second)
	witness.Merge(now, table.Records(now))
	require.Empty(t, witness.Quarantined(now.Add(settleTime)))
}

// If other prompts that share a part with the harmful ones are answered, nothing is waited for.
func TestConfirmedQuarantineBeginsAtOnce(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.RecordAnswer(now, pool, []string{common}, time.Second)
	for i := range crashThreshold {
		table.RecordCrash(now, pool, fmt.Sprint(i), []string{common, harmful}, 0)
	}
	require.Equal(t, []string{harmful}, table.Quarantined(now))
}

// A short answer must not clear crashes that come later in answers, and an answer that goes on none if it ends in a crash.
func TestLateCrashesNeedLongAnswers(t *testing.T) {
	table, now := NewTable(), time.Now()
	crash := func(server string, reached time.Duration) {
		table.RecordCrash(now, pool, server, []string{common, harmful}, reached)
	}
	table.RecordAnswer(now, pool, []string{common, harmful}, 2*time.Second)
	crash("s1", 3*time.Second)
	crash("s2", 3*time.Second)
	crash("s3", 2*time.Second)
	require.Empty(t, table.Quarantined(now.Add(maxSettleTime)), "the answer clears the last crash")
	crash("s4", 3*time.Second)
	table.RecordAnswer(now, pool, []string{common, harmful}, 2*time.Second)
	require.Equal(t, []string{harmful}, table.Quarantined(now.Add(maxSettleTime)))

	table.RecordProgress(now, []string{harmful}, 3200*time.Millisecond)
	require.Equal(t, []string{harmful}, table.Quarantined(now.Add(maxSettleTime)), "hardly longer")
	table.RecordProgress(now, []string{common, harmful}, 4*time.Second)
	require.Empty(t, table.Quarantined(now.Add(maxSettleTime)), "an answer goes on")
	crash("s5", 4100*time.Millisecond)
	require.Equal(t, []string{harmful}, table.Quarantined(now.Add(maxSettleTime)), "and has ended in a crash")
	table.RecordAnswer(now, pool, []string{common, harmful}, 5*time.Second)
	require.Empty(t, table.Quarantined(now.Add(maxSettleTime)))
}

// Instances whose tables are full of different records must not go on replacing them in each other: a server that ends takes
// many runs along, each with a part of its own.
func TestFullTablesSettle(t *testing.T) {
	now := time.Now()
	tables := []*Table{NewTable(), NewTable()}
	for i := range 2 * maxRecords {
		tables[i%2].RecordCrash(now, pool, "s1", []string{fmt.Sprint("own", i)}, time.Second)
	}
	for _, table := range tables {
		table.TakeChanged(now)
	}
	now = now.Add(time.Second)
	for i := range tables {
		tables[i].Merge(now, tables[1-i].Records(now))
		require.Empty(t, tables[i].TakeChanged(now))
	}
	for _, server := range []string{"s2", "s3", "s4"} {
		tables[0].RecordCrash(now, pool, server, []string{harmful}, time.Second)
	}
	tables[1].Merge(now, tables[0].TakeChanged(now))
	require.Equal(t, []string{harmful}, tables[1].Quarantined(now.Add(maxSettleTime)))
}

// A crash that was cleared by a short answer must count again when an older run turns out to have ended in it, as at another
// instance.
func TestOlderRunOfClearedCrash(t *testing.T) {
	table, other, now := NewTable(), NewTable(), time.Now()
	table.RecordAnswer(now, pool, []string{harmful}, 2*time.Second)
	for i := range crashThreshold {
		table.RecordCrash(now, pool, fmt.Sprint(i), []string{harmful}, time.Second)
		other.RecordCrash(now, pool, fmt.Sprint(i), []string{harmful}, 3*time.Second)
	}
	require.Empty(t, table.Quarantined(now.Add(maxSettleTime)))
	table.Merge(now, other.Records(now))
	require.Equal(t, []string{harmful}, table.Quarantined(now.Add(maxSettleTime)))
	other.Merge(now, table.Records(now))
	require.Equal(t, table.Digest(), other.Digest())
}

// Instances of earlier releases don't say which runs a crash ended.
func TestEvidenceOfEarlierRelease(t *testing.T) {
	table, now := NewTable(), time.Now()
	record := Record{Part: hashOf(harmful), Name: harmful, Crashes: []uint64{1, 2, 3}}
	table.Merge(now, []Record{record})
	require.Equal(t, []string{harmful}, table.Quarantined(now.Add(settleTime)))
	record.Cleared = []uint64{2}
	table.Merge(now, []Record{record})
	require.Empty(t, table.Quarantined(now.Add(settleTime)))
}

// A part that all prompts share may be blamed where no prompt was answered. Its quarantine must end when
// a trial is answered. A part without which prompts of the pool are answered must be tried much later.
func TestTrials(t *testing.T) {
	table, now := NewTable(), time.Now()
	for i := range crashThreshold {
		table.RecordCrash(now, pool, fmt.Sprint(i), []string{common}, 0)
	}
	now = now.Add(settleTime)
	blamed := table.Find(now, []string{common})
	require.NotNil(t, blamed)
	require.False(t, blamed.record.trialDue(now))
	table.RecordAnswer(now, "desk", []string{document}, time.Second)
	now = now.Add(trialDelay)
	require.True(t, table.TakeTrial(now, blamed))
	require.False(t, table.TakeTrial(now, blamed), "one trial at a time")
	require.False(t, blamed.record.trialDue(now.Add(trialDelay)))
	require.True(t, blamed.record.trialDue(now.Add(trialFactor*trialDelay)))
	table.RecordAnswer(now, pool, []string{common}, time.Second)
	require.Empty(t, table.Quarantined(now))

	for i := range crashThreshold {
		table.RecordCrash(now, pool, fmt.Sprint("h", i), []string{common, harmful}, 0)
	}
	guilty := table.Find(now, []string{harmful})
	require.NotNil(t, guilty)
	require.False(t, guilty.record.trialDue(now.Add(confirmedTrialDelay-time.Second)))
	require.True(t, guilty.record.trialDue(now.Add(confirmedTrialDelay)))
}

// An instance that takes over the trials of another one, or restarts, must not begin them anew.
func TestTrialsAreShared(t *testing.T) {
	table, now := NewTable(), time.Now()
	for i := range crashThreshold {
		table.RecordCrash(now, pool, fmt.Sprint(i), []string{common}, 0)
	}
	now = now.Add(trialDelay)
	require.True(t, table.TakeTrial(now, table.Find(now, []string{common})))
	now = now.Add(time.Second)
	other := NewTable()
	other.Merge(now, table.Records(now))
	require.Equal(t, table.Digest(), other.Digest())
	now = now.Add(2 * trialDelay)
	require.False(t, other.Find(now, []string{common}).record.trialDue(now))
	require.True(t, other.Find(now, []string{common}).record.trialDue(now.Add(trialFactor*trialDelay)))
}

// A quarantine ends after quarantineTime. From then on a single crash is enough.
func TestQuarantineEnds(t *testing.T) {
	table, now := NewTable(), time.Now()
	for i := range crashThreshold {
		table.RecordCrash(now, pool, fmt.Sprint(i), []string{harmful}, 0)
	}
	now = now.Add(quarantineTime)
	table.RemoveExpired(now)
	require.Empty(t, table.Quarantined(now))
	table.RecordCrash(now, pool, "again", []string{harmful}, 0)
	require.Equal(t, []string{harmful}, table.Quarantined(now.Add(settleTime)))
	now = now.Add(memoryTime)
	table.RemoveExpired(now)
	require.Zero(t, table.Len())
}

// Single crashes over a long time must not add up.
func TestOldCrashesAreForgotten(t *testing.T) {
	table, now := NewTable(), time.Now()
	for i := range 10 * crashThreshold {
		table.RecordCrash(now, pool, fmt.Sprint(i), []string{document}, 0)
		now = now.Add(evidenceTime)
		table.RemoveExpired(now)
		require.Zero(t, table.Len())
	}
}

// An instance that still holds evidence must not bring it back where it has expired.
func TestExpiredEvidenceIsNotMerged(t *testing.T) {
	now := time.Now()
	source := NewTable()
	for i := range crashThreshold {
		source.RecordCrash(now, pool, fmt.Sprint(i), []string{document}, 0)
	}
	source.RecordAnswer(now, pool, []string{document}, time.Second)
	now = now.Add(evidenceTime)
	table := NewTable()
	table.Merge(now, source.Records(now))
	require.Zero(t, table.Len())
}

// However many parts are suspected, memory must stay bounded and quarantined parts must be kept.
func TestEvidenceIsBounded(t *testing.T) {
	table, now := NewTable(), time.Now()
	for i := range crashThreshold {
		table.RecordCrash(now, pool, fmt.Sprint(i), []string{harmful}, 0)
	}
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		parts := []string{fmt.Sprint("part", i), fmt.Sprint("part", i/2)}
		table.RecordCrash(now, pool, fmt.Sprint("server", i), parts, 0)
		table.RecordCrash(now, pool, fmt.Sprint("server", i), []string{harmful}, 0)
		table.RecordAnswer(now, pool, []string{fmt.Sprint("answered", i)}, time.Second)
		table.Merge(now, []Record{{Part: uint64(i), Name: "other", Crashes: []uint64{uint64(i)}}})
	}
	require.LessOrEqual(t, table.Len(), maxRecords)
	require.LessOrEqual(t, len(table.answers), maxAnswered)
	require.LessOrEqual(t, len(table.changed), maxRecords)
	for _, r := range table.Records(now) {
		require.LessOrEqual(t, len(r.Crashes), maxCrashes)
	}
	require.Contains(t, table.Quarantined(now.Add(settleTime)), harmful)
}

// Instances that have got the same evidence, in whatever order, must quarantine the same parts.
func TestOrderOfEvidenceDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		sources := make([]*Table, 3)
		for i := range sources {
			sources[i] = NewTable()
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			table := sources[rapid.IntRange(0, 2).Draw(t, "instance")]
			parts := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 4, rapid.ID[string]).Draw(t, "parts")
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				table.RecordAnswer(now, pool, parts, time.Second)
			} else {
				table.RecordCrash(now, pool, fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "server")), parts, 0)
			}
			now = now.Add(trustTime)
		}
		merged := make([]*Table, 2)
		for i := range merged {
			merged[i] = NewTable()
			for _, s := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				records := sources[s].Records(now)
				rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
				merged[i].Merge(now, records)
			}
		}
		for part, r := range merged[0].records {
			// Depth is that of the first record, which differs only if a part stands at several depths.
			merged[1].records[part].Depth = r.Depth
		}
		merged[1].derive(now)
		require.Equal(t, merged[0].Digest(), merged[1].Digest())
		require.Equal(t, merged[0].Quarantined(now.Add(settleTime)), merged[1].Quarantined(now.Add(settleTime)))
	})
}

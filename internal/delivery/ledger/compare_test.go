package ledger

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"emberquay/control"
	"emberquay/internal/vfs"
)

// The measurement of docs/notes/ledger.md: the same workload on this ledger and on an embedded store, in one run.
//
//	go test ./internal/delivery/ledger -run '^$' -bench . -benchtime 20000x
//
// Each round accepts a text, records an attempt and ends the text; others are held throughout, so that the given share of
// the space is used. With power loss safety 16 rounds share a sync.

// backend is a store under comparison.
type backend interface {
	accept(t *Text) error
	attempt(id string) error
	end(id string) error
	sync() error
	close()
}

type segmentStore struct{ *Ledger }

func (o segmentStore) accept(t *Text) error    { return o.RecordAccepted(t) }
func (o segmentStore) attempt(id string) error { return o.RecordAttempt(id, 5, "a") }
func (o segmentStore) end(id string) error     { return o.RecordEnd(id) }
func (o segmentStore) sync() error             { return o.Sync() }
func (o segmentStore) close()                  { o.Close() }

// boltStore is the embedded store: one transaction per call without sync, or one per batch with sync.
type boltStore struct {
	db            *bbolt.DB
	powerLossSafe bool
	tx            *bbolt.Tx
}

var bucketName = []byte("texts")

func (o *boltStore) update(f func(b *bbolt.Bucket) error) error {
	if !o.powerLossSafe {
		return o.db.Update(func(tx *bbolt.Tx) error { return f(tx.Bucket(bucketName)) })
	}
	if o.tx == nil {
		tx, err := o.db.Begin(true)
		if err != nil {
			return err
		}
		o.tx = tx
	}
	return f(o.tx.Bucket(bucketName))
}

func (o *boltStore) accept(t *Text) error {
	return o.update(func(b *bbolt.Bucket) error { return b.Put([]byte(t.ID), t.toRecord().payload) })
}

func (o *boltStore) attempt(id string) error {
	return o.update(func(b *bbolt.Bucket) error {
		return b.Put([]byte(id+"/s"), binary.LittleEndian.AppendUint64(nil, 5))
	})
}

func (o *boltStore) end(id string) error {
	return o.update(func(b *bbolt.Bucket) error {
		if err := b.Delete([]byte(id + "/s")); err != nil {
			return err
		}
		return b.Delete([]byte(id))
	})
}

func (o *boltStore) sync() error {
	if o.tx == nil {
		return nil
	}
	tx := o.tx
	o.tx = nil
	return tx.Commit()
}

func (o *boltStore) close() { o.db.Close() }

func newBackends(b *testing.B, maxBytes int64, powerLossSafe bool) map[string]func() backend {
	return map[string]func() backend{
		"segments": func() backend {
			l, err := Open(vfs.OS{}, b.TempDir(), Options{MaxBytes: maxBytes, PowerLossSafe: powerLossSafe})
			if err != nil {
				b.Fatal(err)
			}
			return segmentStore{l}
		},
		"bbolt": func() backend {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, &bbolt.Options{NoSync: !powerLossSafe, NoFreelistSync: true})
			if err != nil {
				b.Fatal(err)
			}
			db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket(bucketName); return err })
			return &boltStore{db: db, powerLossSafe: powerLossSafe}
		},
	}
}

func BenchmarkStores(b *testing.B) {
	for _, c := range []struct {
		room  int64
		size  int
		held  float64 // share of the space
		power bool
	}{
		{3e6, 200, 0, false}, {3e6, 200, 0.6, false}, {3e6, 200, 0.8, false}, {3e6, 64 << 10, 0.5, false},
		{1e9, 200, 0.01, false}, {3e6, 200, 0, true}, {3e6, 200, 0.6, true}, {1e9, 200, 0.01, true},
	} {
		for _, name := range []string{"segments", "bbolt"} {
			b.Run(fmt.Sprintf("%s/room=%g/bytes=%d/held=%g/power=%v", name, float64(c.room), c.size, c.held, c.power), func(b *testing.B) {
				s := newBackends(b, c.room, c.power)[name]()
				defer s.close()
				body := make([]byte, c.size)
				text := func(id string) *Text {
					return &Text{ID: id, Product: "order", Destination: 3, IdempotencyKey: id, AcceptedAt: 1e14, ValidUntil: 1e14, Body: body}
				}
				for i := 0; float64(i)*float64(c.size+200) < c.held*float64(c.room); i++ {
					if err := s.accept(text(fmt.Sprintf("held-%012d", i))); err != nil {
						b.Fatal(i, err)
					}
				}
				if err := s.sync(); err != nil {
					b.Fatal(err)
				}
				var durations []time.Duration
				b.ResetTimer()
				for i := range b.N {
					id := fmt.Sprintf("%016x", i)
					startedAt := time.Now()
					if err := s.accept(text(id)); err != nil {
						b.Fatal(err)
					}
					durations = append(durations, time.Since(startedAt))
					if err := s.attempt(id); err != nil {
						b.Fatal(err)
					}
					if err := s.end(id); err != nil {
						b.Fatal(err)
					}
					if c.power && i%16 == 15 {
						if err := s.sync(); err != nil {
							b.Fatal(err)
						}
					}
				}
				b.StopTimer()
				s.sync()
				slices.Sort(durations)
				b.ReportMetric(float64(durations[len(durations)*999/1000].Microseconds()), "p99.9-take-us")
				b.ReportMetric(float64(durations[len(durations)-1].Microseconds()), "max-take-us")
				if o, ok := s.(segmentStore); ok {
					st := o.Stats()
					b.ReportMetric(float64(st.WrittenBytes)/float64(max(1, st.WrittenBytes-st.MovedBytes)), "written-per-byte")
					b.ReportMetric(float64(st.ForcedCleanings), "forced")
				}
			})
		}
	}
}

// BenchmarkOpen measures a start with n live records, beside up to a hundred times as many that have ended.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{10, 10_000, 1_000_000} {
		dir := b.TempDir()
		l, err := Open(vfs.OS{}, dir, Options{MaxBytes: 2e9})
		if err != nil {
			b.Fatal(err)
		}
		for i := range n {
			if err := l.RecordAccepted(&Text{ID: fmt.Sprintf("%016x", i), Product: "order", Body: make([]byte, 200), ValidUntil: control.Time(i)}); err != nil {
				b.Fatal(err)
			}
		}
		for i := range min(100*n, 300_000) {
			id := fmt.Sprintf("over%012x", i)
			l.RecordAccepted(&Text{ID: id, Product: "order", Body: make([]byte, 200)})
			l.RecordEnd(id)
		}
		l.Close()
		b.Run(fmt.Sprint("texts=", n), func(b *testing.B) {
			for range b.N {
				l, err := Open(vfs.OS{}, dir, Options{MaxBytes: 2e9})
				if err != nil || len(l.state.texts) != n {
					b.Fatal(err, len(l.state.texts))
				}
				l.Close()
			}
		})
		os.RemoveAll(dir)
	}
}

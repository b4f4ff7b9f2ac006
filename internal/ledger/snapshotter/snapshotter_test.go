package snapshotter_test

import (
	"context"
	"testing"
	"time"

	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
	"daisyhead/internal/ledger/snapshotter"
	"daisyhead/internal/platform/appender"
)

// log stores records in memory.
type log struct{ records [][]byte }

func (l *log) Append(_ context.Context, data []byte) (uint64, error) {
	l.records = append(l.records, data)
	return uint64(len(l.records) - 1), nil
}

func (l *log) Read(_ context.Context, from uint64, limit int, _ time.Duration) (appender.Page, error) {
	page := appender.Page{Next: uint64(len(l.records))}
	for o := from; o < page.Next && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, appender.Record{Offset: o, Data: l.records[o]})
	}
	return page, nil
}

// write appends a snapshot of several chunks that includes the records before next.
func write(t *testing.T, l *log, next uint64) (hash uint64) {
	t.Helper()
	s := reducer.New()
	s.Next = next
	for n := range 3000 {
		s.Audit = append(s.Audit, reducer.AuditEntry{Number: uint64(n), Actor: "an operator", Action: "ApplyTicket", Object: "Domain/itajai", Result: "Accepted, with a rather long reason to fill the chunks of the snapshot"})
	}
	data, err := serializer.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	hash, err = snapshotter.Write(t.Context(), l, next, data)
	if err != nil {
		t.Fatal(err)
	}
	return hash
}

func confirm(t *testing.T, l *log, next, hash uint64) {
	t.Helper()
	if err := snapshotter.Confirm(t.Context(), l, next, hash); err != nil {
		t.Fatal(err)
	}
}

func TestLoad(t *testing.T) {
	tests := []struct {
		name    string
		setup   func(l *log)
		atLeast uint64
		// want is the Next of the loaded state, or 0 if there is none.
		want uint64
	}{
		{"none", func(*log) {}, 0, 0},
		{"the newest", func(l *log) { write(t, l, 5); write(t, l, 9) }, 0, 9},
		{"a confirmed one is preferred to a newer one", func(l *log) {
			confirm(t, l, 5, write(t, l, 5))
			write(t, l, 9)
		}, 0, 5},
		{"a newer one is used when the confirmed one ends too early", func(l *log) {
			confirm(t, l, 5, write(t, l, 5))
			write(t, l, 9)
		}, 7, 9},
		{"a confirmation of another checksum is ignored", func(l *log) {
			confirm(t, l, 5, write(t, l, 5)+1)
			write(t, l, 9)
		}, 0, 9},
		{"an incomplete one is ignored", func(l *log) {
			write(t, l, 5)
			write(t, l, 9)
			l.records = l.records[:len(l.records)-1]
		}, 0, 5},
		{"a snapshot with a corrupt chunk is ignored", func(l *log) {
			write(t, l, 5)
			write(t, l, 9)
			last := l.records[len(l.records)-1]
			last[len(last)-1] ^= 1
		}, 0, 5},
		{"records that are not chunks are ignored", func(l *log) {
			write(t, l, 5)
			l.records = append(l.records, []byte("hello"), nil)
		}, 0, 5},
		{"duplicate chunks are ignored", func(l *log) {
			write(t, l, 5)
			l.records = append(l.records, l.records...)
		}, 0, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &log{}
			test.setup(l)
			s, err := snapshotter.Load(t.Context(), l, test.atLeast)
			if err != nil {
				t.Fatal(err)
			}
			got := uint64(0)
			if s != nil {
				got = s.Next
			}
			if got != test.want {
				t.Errorf("loaded the snapshot before offset %d, want %d", got, test.want)
			}
		})
	}
}

package reducer

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// kindClosing is the kind of the records of ended terms.
const kindClosing = "closing"

// Closing records which starts may still be executed after a process has lost or handed over a
// term. The process writes it once it sends no more starts, so that later holders need not wait
// for the others. An append of the holder can't carry it, since the term is over.
type Closing struct {
	Term uint64
	// Holder is the process that held the term.
	Holder string
	// Inactive is set if the process never took the term over. It then knows only that no
	// start was sent in this term, and nothing of earlier ones.
	Inactive bool `cbor:",omitempty"`
	// Waits holds, by the unit's ID, for how much longer at most a start of the unit could be
	// executed when the record was written, in milliseconds. It contains the starts of the
	// term and those of earlier terms, but not those of jobs that had ended before the term.
	Waits map[string]int64 `cbor:",omitempty"`
}

// maxClosingWaits limits the units of a closing record. With more of them it is of little use.
const maxClosingWaits = 2000

// ClosingRecord returns the record that closes a term, and false if it would be too large.
func ClosingRecord(c Closing) (r Record, ok bool) {
	if len(c.Waits) > maxClosingWaits {
		return r, false
	}
	r = encode(closingKey(c.Term), c)
	return r, !r.Oversized()
}

// ClosingTombstone returns the tombstone of a ClosingRecord.
func ClosingTombstone(term uint64) Record { return Record{Key: closingKey(term)} }

// ClosingTerm returns the term of a ClosingRecord, and false for any other record or a
// tombstone.
func ClosingTerm(r Record) (term uint64, ok bool) {
	kind, name, _ := strings.Cut(r.Key, "/")
	if kind != kindClosing || len(r.Value) == 0 {
		return 0, false
	}
	term, err := strconv.ParseUint(name, 10, 64)
	return term, err == nil
}

func closingKey(term uint64) string { return kindClosing + "/" + strconv.FormatUint(term, 10) }

// applyClosing adds or removes the closing record of a term. The old one is removed even if the
// new one can't be decoded.
func (t *Table) applyClosing(name string, r Record) error {
	term, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return errors.Wrapf(ErrUnreadable, "key %q has no term", r.Key)
	}
	delete(t.Closings, term)
	if len(r.Value) == 0 {
		return nil
	}
	var c Closing
	if err := decode(r, &c); err != nil {
		return err
	}
	if c.Term != term || len(c.Waits) > maxClosingWaits {
		return errors.Wrapf(ErrUnreadable, "record with key %q is of term %d and lists %d units", r.Key, c.Term, len(c.Waits))
	}
	t.Closings[term] = c
	return nil
}

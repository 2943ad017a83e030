package publication

import "bytes"

// assembler assembles the records of one kind that consist of several parts.
//
// The parts must be contiguous among the records of that kind. Otherwise a process
// that starts from a snapshot between two parts would miss the first and decide
// differently from the others. A part that was appended twice, after a lost
// response, is ignored.
type assembler struct {
	current *partialRecord
}

// partialRecord is a record whose remaining parts, from next on, are missing.
type partialRecord struct {
	record
	next int
}

// decodeRecord decodes a record; false means that data is not a valid record.
func decodeRecord(data []byte) (record, bool) {
	var rec record
	if err := decMode.Unmarshal(data, &rec); err != nil {
		return rec, false
	}

	ok := rec.Parts >= 1 && rec.Parts <= maxParts && rec.Part >= 0 && rec.Part < rec.Parts

	return rec, ok
}

// add adds a part. It returns the record if that completes it, and a record that is
// dropped: the incomplete one that part doesn't continue, or part itself if the
// parts before it are missing.
func (a *assembler) add(offset uint64, part record) (complete, dropped *record) {
	o := a.current
	sameRecord := o != nil && o.ID == part.ID && o.Parts == part.Parts

	switch {
	case sameRecord && part.Part < o.next:
		return nil, nil
	case sameRecord && part.Part == o.next:
		o.Payload = append(o.Payload, part.Payload...)
		o.next++
	default:
		if o != nil {
			dropped = &o.record
		}

		if part.Part != 0 {
			a.current = nil

			return nil, &part
		}

		o = &partialRecord{record: part, next: 1}
		o.start = offset
		o.Payload = bytes.Clone(part.Payload)
		a.current = o
	}

	if o.next < o.Parts {
		return nil, dropped
	}

	a.current = nil

	return &o.record, dropped
}

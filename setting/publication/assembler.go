package publication

import "bytes"

// assembler puts the records of one kind together that stand in several parts.
//
// The parts must follow each other. Otherwise a process that starts from a
// snapshot between two of them would miss the first, and decide otherwise than
// the rest. A part that comes twice, after an append whose answer was lost,
// does no harm.
type assembler struct {
	open *assembly
}

// assembly is a record of which parts are missing.
type assembly struct {
	record
	next int
}

// decodeRecord reads a record; false means that it is none of ours.
func decodeRecord(data []byte) (record, bool) {
	var one record
	if err := decoding.Unmarshal(data, &one); err != nil {
		return one, false
	}

	ok := one.Parts >= 1 && one.Parts <= maxParts && one.Part >= 0 && one.Part < one.Parts

	return one, ok
}

// take adds a part. It returns the record when it is whole, and the one that
// was given up because another came between its parts.
func (a *assembler) take(offset uint64, part record) (whole, lost *record) {
	o := a.open
	mine := o != nil && o.ID == part.ID && o.Parts == part.Parts

	switch {
	case mine && part.Part < o.next:
		return nil, nil
	case mine && part.Part == o.next:
		o.Payload = append(o.Payload, part.Payload...)
		o.next++
	default:
		if o != nil {
			lost = &o.record
		}

		if part.Part != 0 {
			a.open = nil

			return nil, &part
		}

		o = &assembly{record: part, next: 1}
		o.start = offset
		o.Payload = bytes.Clone(part.Payload)
		a.open = o
	}

	if o.next < o.Parts {
		return nil, lost
	}

	a.open = nil

	return &o.record, lost
}

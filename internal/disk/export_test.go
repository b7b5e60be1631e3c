package disk

// Record is the result of parsing a record, for tests of the decoder.
type Record struct {
	Sequence uint64
	Payload  []byte
	Valid    bool
}

// ParseRecord reads the record at the start of content.
func ParseRecord(content []byte) Record {
	sequence, payload, state := parseRecord(content, fileHeaderSize)
	return Record{Sequence: sequence, Payload: payload, Valid: state == recordValid}
}

// AppendRecord appends a record to b.
func AppendRecord(b []byte, sequence uint64, payload []byte) []byte {
	return appendRecord(b, sequence, payload)
}

// SegmentHeader returns the header of the first segment.
func SegmentHeader() []byte { return appendFileHeader(nil, segmentMagic, 1) }

// FirstSegment is the name of the first segment.
var FirstSegment = segmentName(1)

package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A file begins with a header: magic (8 bytes), format version (4), a number
// whose meaning depends on the kind of file (8), and the CRC-32C of these (4).
// Records follow: payload length (4), sequence number (8), CRC-32C of the
// payload (4), CRC-32C of the record's header so far (4), payload. All
// integers are little-endian. Each byte of the payload is XORed with
// payloadMask, so that zeros in a command are not stored as zeros: a sector of
// zeros is taken as one that was never written.
const (
	formatVersion    = 1
	fileHeaderSize   = 24
	recordHeaderSize = 20
	maxRecordSize    = 1 << 30
	payloadMask      = 0x55
	// sectorSize is the size of a disk sector, which is assumed to be written
	// atomically, in bytes.
	sectorSize = 512
)

type magic [8]byte

var (
	segmentMagic  = magic([]byte("OLRMPLOG"))
	snapshotMagic = magic([]byte("OLRMPSNP"))
	identityMagic = magic([]byte("OLRMPIDN"))
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// appendFileHeader appends the header of a file to b.
func appendFileHeader(b []byte, kind magic, number uint64) []byte {
	start := len(b)
	b = append(b, kind[:]...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint64(b, number)
	return binary.LittleEndian.AppendUint32(b, checksum(b[start:]))
}

// parseFileHeader checks the header of a file and returns the number in it.
func parseFileHeader(file string, content []byte, kind magic) (uint64, error) {
	if len(content) < fileHeaderSize {
		return 0, &DamageError{file: file, offset: int64(len(content)), reason: "header is truncated"}
	}
	header := content[:fileHeaderSize]
	if binary.LittleEndian.Uint32(header[20:]) != checksum(header[:20]) {
		return 0, &DamageError{file: file, reason: "checksum of the header does not match"}
	}
	if !bytes.Equal(header[:8], kind[:]) {
		return 0, &DamageError{file: file, reason: "magic number does not match the kind of file"}
	}
	if version := binary.LittleEndian.Uint32(header[8:]); version != formatVersion {
		return 0, &VersionError{file: file, version: version}
	}
	return binary.LittleEndian.Uint64(header[12:]), nil
}

// appendRecord appends a record to b.
func appendRecord(b []byte, sequence uint64, payload []byte) []byte {
	start := len(b)
	masked := mask(payload)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(masked)))
	b = binary.LittleEndian.AppendUint64(b, sequence)
	b = binary.LittleEndian.AppendUint32(b, checksum(masked))
	b = binary.LittleEndian.AppendUint32(b, checksum(b[start:]))
	return append(b, masked...)
}

// mask XORs each byte with payloadMask. Applied twice it returns the original
// payload.
func mask(payload []byte) []byte {
	masked := make([]byte, len(payload))
	for i, x := range payload {
		masked[i] = x ^ payloadMask
	}
	return masked
}

// recordState is the result of parsing a record.
type recordState uint8

const (
	recordValid recordState = iota
	// recordTorn is a record that a crash interrupted before it was synced:
	// a part of it is beyond the end of the file or in sectors of zeros.
	recordTorn
	recordDamaged
)

// parseRecord reads the record at the start of content, which is the rest of
// the file from the given offset on.
func parseRecord(content []byte, offset int64) (sequence uint64, payload []byte, state recordState) {
	if len(content) < recordHeaderSize {
		return 0, nil, recordTorn
	}
	header := content[:recordHeaderSize]
	length := int64(binary.LittleEndian.Uint32(header))
	if binary.LittleEndian.Uint32(header[16:]) != checksum(header[:16]) || length > maxRecordSize {
		return 0, nil, tornOrDamaged(content, offset, recordHeaderSize)
	}
	if int64(len(content)) < recordHeaderSize+length {
		return 0, nil, recordTorn
	}
	masked := content[recordHeaderSize : recordHeaderSize+length]
	if binary.LittleEndian.Uint32(header[12:]) != checksum(masked) {
		return 0, nil, tornOrDamaged(content, offset, recordHeaderSize+length)
	}
	return binary.LittleEndian.Uint64(header[4:]), mask(masked), recordValid
}

// tornOrDamaged classifies the first size bytes of content, whose checksum does
// not match: as recordTorn if one of its sectors was never written, and as
// recordDamaged otherwise. offset is the position of content in the file, from
// which the sector boundaries follow.
func tornOrDamaged(content []byte, offset, size int64) recordState {
	for start := int64(0); start < size; {
		end := min(size, start+sectorSize-(offset+start)%sectorSize)
		if allZero(content[start:end]) {
			return recordTorn
		}
		start = end
	}
	return recordDamaged
}

func allZero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}

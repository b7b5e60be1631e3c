package httpserver

import "net"

// recordHeaderBytes is the size of the header of a TLS record: type, version and
// the length of the rest.
const recordHeaderBytes = 5

// records follows the records in a TLS connection's bytes.
type records struct {
	// header has the header bytes of the current record, of which left more bytes
	// are to come. It is empty between two records.
	header []byte
	left   int
}

// add takes the next bytes.
func (r *records) add(p []byte) {
	for len(p) > 0 {
		n := r.addHeader(p)
		p = p[n:]
		if len(r.header) < recordHeaderBytes {
			return
		}
		rest := min(r.left, len(p))
		p, r.left = p[rest:], r.left-rest
		if r.left == 0 {
			r.header = r.header[:0]
		}
	}
}

// addHeader takes the bytes that belong to the header, and returns their number.
func (r *records) addHeader(p []byte) int {
	n := min(recordHeaderBytes-len(r.header), len(p))
	if n == 0 {
		return 0
	}
	r.header = append(r.header, p[:n]...)
	if len(r.header) == recordHeaderBytes {
		r.left = int(r.header[3])<<8 | int(r.header[4])
	}
	return n
}

// partial reports whether only a part of the current record has arrived.
func (r *records) partial() bool { return len(r.header) > 0 }

// recordConn is the connection below TLS. It follows the records that are read.
type recordConn struct {
	net.Conn
	read records
}

// Read reads from the connection.
func (c *recordConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.add(p[:n])
	return n, err
}

package httpserver

import "bytes"

// headerScan counts the bytes and the lines of a request's header while it arrives. It
// understands no more of HTTP/1 than that takes.
type headerScan struct {
	// bytes and lines are those that have arrived; lines includes the request line.
	bytes, lines int
	// lineBytes is the length of the line that has begun.
	lineBytes int
	// afterCR is true if the last byte was a carriage return.
	afterCR bool
	// done is true once the empty line after the header has arrived.
	done bool
}

// add adds bytes that have arrived, of which some may follow the header.
func (h *headerScan) add(p []byte) {
	for !h.done && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.bytes += len(p)
			h.lineBytes += len(p)
			h.afterCR = p[len(p)-1] == '\r'
			return
		}
		h.bytes += end + 1
		h.endLine(p[:end])
		p = p[end+1:]
	}
}

// endLine ends a line with its last bytes, without the newline.
func (h *headerScan) endLine(p []byte) {
	length := h.lineBytes + len(p)
	empty := length == 0 || length == 1 && (len(p) == 1 && p[0] == '\r' || len(p) == 0 && h.afterCR)
	h.lineBytes, h.afterCR = 0, false
	switch {
	case !empty:
		h.lines++
	case h.lines > 0:
		h.done = true
	}
}

// fields returns the number of header fields.
func (h *headerScan) fields() int { return max(h.lines-1, 0) }

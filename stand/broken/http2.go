package broken

import (
	"encoding/binary"
	"io"
	"net"
)

// Types, flags and sizes of HTTP/2 frames (RFC 9113).
const (
	frameData     = 0
	frameHeaders  = 1
	frameSettings = 4

	flagAck        = 1
	flagEndStream  = 1
	flagEndHeaders = 4

	frameHeadBytes = 9
	prefaceBytes   = 24
)

// statusField is the HPACK prefix of a status that is not put into the table of fields.
const statusField = 8

// StartHTTP2 starts a Server that answers each unencrypted HTTP/2 request with a status, given as the text of its field, and a body.
func StartHTTP2(status, body string) (*Server, error) {
	return start(func(s *Server, c net.Conn) { s.serveHTTP2(c, status, body) })
}

func (s *Server) serveHTTP2(c net.Conn, status, body string) {
	defer c.Close()
	if _, err := io.CopyN(io.Discard, c, prefaceBytes); err != nil {
		return
	}
	writeFrame(c, frameSettings, 0, 0, "")
	for {
		var head [frameHeadBytes]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return // the client has closed the connection
		}
		length := int64(binary.BigEndian.Uint32(head[:4]) >> 8)
		if _, err := io.CopyN(io.Discard, c, length); err != nil {
			return
		}
		kind, flags, stream := head[3], head[4], binary.BigEndian.Uint32(head[5:])
		switch {
		case kind == frameSettings && flags&flagAck == 0:
			writeFrame(c, frameSettings, flagAck, 0, "")
		case (kind == frameData || kind == frameHeaders) && flags&flagEndStream != 0:
			s.requests.Add(1)
			writeFrame(c, frameHeaders, flagEndHeaders, stream, string([]byte{statusField, byte(len(status))})+status)
			writeFrame(c, frameData, flagEndStream, stream, body)
		}
	}
}

// writeFrame writes a frame; the client may be gone.
func writeFrame(w io.Writer, kind, flags byte, stream uint32, payload string) {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	head = append(head, flags)
	head = binary.BigEndian.AppendUint32(head, stream)
	_, _ = w.Write(append(head, payload...))
}

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

// HPACK prefixes of fields that are not put into the table of fields (RFC 7541).
const (
	statusField  = 8
	literalField = 0
)

// StartHTTP2 starts a Server that answers each unencrypted HTTP/2 request with a status, given as the text of its field, and a body.
func StartHTTP2(status, body string) (*Server, error) {
	return startHTTP2(hpackStatus(status), body)
}

// StartHTTP2Field is StartHTTP2 with the status 200 and a field with a name and the value 1.
func StartHTTP2Field(name, body string) (*Server, error) {
	return startHTTP2(hpackStatus("200")+string([]byte{literalField, byte(len(name))})+name+"\x011", body)
}

func hpackStatus(status string) string {
	return string([]byte{statusField, byte(len(status))}) + status
}

func startHTTP2(fields, body string) (*Server, error) {
	return start(func(s *Server, c net.Conn) { s.serveHTTP2(c, fields, body) })
}

func (s *Server) serveHTTP2(c net.Conn, fields, body string) {
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
			writeFrame(c, frameHeaders, flagEndHeaders, stream, fields)
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

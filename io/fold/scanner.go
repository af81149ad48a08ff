package fold

import (
	"fmt"

	"snipeshed/io/head"
)

// ErrFolded is the error of a head with a folded line; it wraps head.ErrMalformed.
var ErrFolded = fmt.Errorf("%w: a line begins with a blank", head.ErrMalformed)

// classIndex is the place of the first digit of the status in a status line.
const classIndex = len("HTTP/1.1 ")

// Scanner reads the bytes of a connection from the start of a head. It reads past the heads of interim responses, and ignores the body.
// The zero value is ready for use.
type Scanner struct {
	inFields  bool // the status line has ended
	ended     bool // the head has ended
	isInterim bool // the status is 1xx, so another head follows
	column    int  // bytes of the line so far
	onlyCR    bool // the line so far is a carriage return
}

// Scan reads the next bytes and returns ErrFolded if a folded line begins in them.
func (s *Scanner) Scan(b []byte) error {
	for _, c := range b {
		switch {
		case s.ended:
			return nil
		case c == '\n':
			s.endLine()
		case s.inFields && s.column == 0 && (c == ' ' || c == '\t'):
			return ErrFolded
		default:
			s.addByte(c)
		}
	}
	return nil
}

func (s *Scanner) addByte(c byte) {
	if !s.inFields && s.column == classIndex {
		s.isInterim = c == '1'
	}
	s.onlyCR = s.column == 0 && c == '\r'
	s.column++
}

func (s *Scanner) endLine() {
	isBlank := s.column == 0 || s.onlyCR
	switch {
	case isBlank && s.isInterim:
		*s = Scanner{}
	case isBlank:
		s.ended = true
	default:
		s.inFields, s.column, s.onlyCR = true, 0, false
	}
}

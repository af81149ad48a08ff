package core

import "github.com/sirupsen/logrus"

// Shared holds the logger and clock that every component embeds.
type Shared struct {
	Log   *logrus.Entry
	Clock Clock
}

// NewShared returns a Shared with the system clock.
func NewShared(log *logrus.Entry) Shared {
	return Shared{Log: log, Clock: SystemClock{}}
}

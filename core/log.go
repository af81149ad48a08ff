package core

import "github.com/sirupsen/logrus"

// Shared holds the parts that every component gets; components embed it.
type Shared struct {
	Log   *logrus.Entry
	Clock Clock
}

// NewShared returns shared parts with the system clock.
func NewShared(log *logrus.Entry) Shared {
	return Shared{Log: log, Clock: SystemClock{}}
}

package core

import "github.com/sirupsen/logrus"

// Common holds the logger and clock that every component embeds.
type Common struct {
	Log   *logrus.Entry
	Clock Clock
}

// NewCommon returns a Common with the system clock.
func NewCommon(log *logrus.Entry) Common {
	return Common{Log: log, Clock: SystemClock{}}
}

// Package apprun is a stand-in of an application runner: it accepts any call and counts how often each Idempotency-Key ran.
//
// A call answers 200 with an Answer. A refused call gets 503 and did not run. A
// call whose Fencing-Number is lower than one seen before with the same key
// gets 409 with {"number":highest} and did not run.
package apprun

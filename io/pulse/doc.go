// Package pulse exchanges state and load with the other instances by UDP datagrams, and tracks which of them are live.
package pulse

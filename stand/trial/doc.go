// Package trial drives policies and simulated engines in virtual time and measures what clients would see.
package trial

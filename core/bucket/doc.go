// Package bucket limits the bytes per second that one instance spends on polls.
package bucket

// Package pool runs the scheduling policy of one pool of endpoints: it admits or refuses calls and polls the endpoints' load.
package pool

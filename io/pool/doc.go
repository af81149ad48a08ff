// Package pool runs the policy of one pool of endpoints: it admits calls, keeps the endpoints' reports and refuses what cannot be served.
package pool

// Package cold limits the requests that the whole fleet sends to an endpoint while it is cold, without coordination between instances.
package cold

// Package shard divides the endpoints of each model into pools.
package shard

// Package relay spreads change tickets and the instance list among instances and vouches for the configuration in force.
package relay

// Command third runs the cases of the third review: it starts entry instances as processes, plays the clients, the endpoints and the
// platform's store for them on loopback addresses, and checks one rule.
package main

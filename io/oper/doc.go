// Package oper serves the operators' API: change tickets, the configuration and the status of the fleet.
package oper

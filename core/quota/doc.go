// Package quota limits what the open requests of one instance hold, so that no team or rank starves the others.
package quota

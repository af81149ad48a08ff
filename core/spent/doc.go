// Package spent estimates how much of its time a caller had spent elsewhere before its call arrived.
package spent

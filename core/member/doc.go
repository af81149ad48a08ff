// Package member folds the instance list and what instances say of themselves into the live members and their owners by hash.
package member

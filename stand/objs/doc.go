// Package objs is a stand-in of the platform: its object API and its instance list.
//
// The version of an object is the revision of its last write, and a delete
// takes a revision too. PUT answers 200 and DELETE 204, both with the new
// version as ETag; a failed condition is 412 with the current version as ETag,
// a write without a condition 428, a value above 1 MiB 413, too many calls 429.
//
// A list answers {"revision","objects":[{"key","version","value"}],"more"} with
// values in base64 and at most 1,000 objects. A watch sends a line
// {"key","version","value"} or {"key","version","deleted":true} per change after
// the revision since, or from now on without since; 410 says that the history
// does not reach back so far.
//
// The instance list with since=n holds what changed after revision n, gone
// instances included; without since it holds all that are live or leaving.
package objs

package signals

/*
#include <signal.h>

static struct sigaction atStart; // the action of SIGHUP inherited from the parent process

// Runs before the Go runtime, which needs some milliseconds to install its handlers. The runtime unblocks SIGHUP if it is
// blocked, but leaves it ignored until signal.Notify is called for it.
__attribute__((constructor)) static void ignoreReload(void) {
	struct sigaction ignored = {.sa_handler = SIG_IGN};
	sigaction(SIGHUP, &ignored, &atStart);
}

static void restoreReload(void) { sigaction(SIGHUP, &atStart, NULL); }
*/
import "C"

// restoreEarly restores the action that SIGHUP had when the process was started.
func restoreEarly() { C.restoreReload() }

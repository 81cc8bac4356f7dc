package signals

/*
#include <signal.h>

static struct sigaction atStart; // what SIGHUP does by the word of who started the process

// Runs before the Go runtime, which takes some milliseconds until it has handlers. The runtime never leaves SIGHUP blocked
// but honours that it is ignored, until a channel is notified of it.
__attribute__((constructor)) static void ignoreReload(void) {
	struct sigaction ignored = {.sa_handler = SIG_IGN};
	sigaction(SIGHUP, &ignored, &atStart);
}

static void restoreReload(void) { sigaction(SIGHUP, &atStart, NULL); }
*/
import "C"

// restoreEarly gives SIGHUP back the action that it had when the process was started.
func restoreEarly() { C.restoreReload() }

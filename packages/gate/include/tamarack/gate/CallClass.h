/// Forwards to base/CallClass.h, which declares the classes of calls.
#ifndef TAMARACK_GATE_CALLCLASS_H
#define TAMARACK_GATE_CALLCLASS_H

#include "tamarack/base/CallClass.h"

#endif // TAMARACK_GATE_CALLCLASS_H

/// The classes of calls, which base/CallClass.h declares.
#ifndef TAMARACK_GATE_CALLCLASS_H
#define TAMARACK_GATE_CALLCLASS_H

#include "tamarack/base/CallClass.h"

#endif // TAMARACK_GATE_CALLCLASS_H

/// The answers of an entry as text that a person reads.
#ifndef TAMARACK_CTL_RENDER_H
#define TAMARACK_CTL_RENDER_H

#include "tamarack/ctl/Command.h"

namespace tamarack {

/// \p Answer as \p View shows it, with a line break at the end. An answer of
/// another shape is shown as JSON.
std::string render(CtlView View, const Json &Answer);

} // namespace tamarack

#endif // TAMARACK_CTL_RENDER_H

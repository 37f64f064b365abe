/// One HTTP request to an entry's operator port.
///
///   const Expected<Json> Answer =
///       sendRequest({"127.0.0.1", 7102}, Key("..."), Request, Timeout);
#ifndef TAMARACK_CTL_CLIENT_H
#define TAMARACK_CTL_CLIENT_H

#include "tamarack/config/Keys.h"
#include "tamarack/config/Settings.h"
#include "tamarack/ctl/Command.h"

namespace tamarack {

/// The address in HOST:PORT; the host is an IP number.
Expected<Address> addressFrom(const std::string &Text);

/// The JSON that the entry answered. The entry's own refusals come back as
/// they are; LinkLost says that there was no answer, and its proof whether
/// the request surely was never sent.
Expected<Json> sendRequest(const Address &Entry, const Key &OperatorKey,
                           const CtlRequest &Request, Duration Timeout);

} // namespace tamarack

#endif // TAMARACK_CTL_CLIENT_H

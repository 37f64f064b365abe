/// The ledgers that get the reports on limited workspaces.
///
/// Limits are of all regions, so the reports of all entries must meet. Each
/// entry reports to one ledger of its region and to one of the others, the
/// first ones in an order that is the same for all entries. The first ledger of
/// all is thus among those of every entry.
#ifndef TAMARACK_RELAY_REPORTTARGETS_H
#define TAMARACK_RELAY_REPORTTARGETS_H

#include "tamarack/base/Ids.h"
#include "tamarack/turns/View.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// Returns the addresses of the members of \p Of to report to, without those
/// that are silent. \p Distance is as in EndpointTableOptions and may be null.
std::vector<std::string>
reportTargets(const View &Of,
              const std::function<int(const DataCentreId &)> &Distance,
              const std::function<bool(const std::string &)> &IsSilent);

} // namespace tamarack

#endif // TAMARACK_RELAY_REPORTTARGETS_H

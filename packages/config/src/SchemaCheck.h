/// Checks a JSON document against a schema and names every mistake.
///
/// The words for what was expected are the descriptions in the schema.
#ifndef TAMARACK_CONFIG_SCHEMACHECK_H
#define TAMARACK_CONFIG_SCHEMACHECK_H

#include "tamarack/config/Settings.h"

namespace tamarack::internal {

/// All mistakes of \p Document, sorted by path, at most one for each path.
std::vector<SettingsMistake> checkSchema(const Json &Schema,
                                         const Json &Document);

/// Sorts \p Mistakes by path.
void sortMistakes(std::vector<SettingsMistake> &Mistakes);

/// \p Value as a mistake quotes it: shortened where it is long.
std::string quoted(const Json &Value);

extern const char *const NothingFound;

} // namespace tamarack::internal

#endif // TAMARACK_CONFIG_SCHEMACHECK_H

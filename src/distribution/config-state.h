#ifndef EELGRASSTRACK_DISTRIBUTION_CONFIG_STATE_H_
#define EELGRASSTRACK_DISTRIBUTION_CONFIG_STATE_H_

#include <string>
#include <vector>

#include "config/snapshot.h"

namespace eelgrasstrack {

/// Key of the store object that holds the accepted configuration.
inline constexpr const char* kConfigKey = "config";

/// An accepted command, kept so that a repeated command is not applied again.
struct accepted_operation
{
  std::string id;
  /// The configuration version that the command created.
  std::uint64_t version = 0;
};

/// Content of the store object: the configuration and the latest operations.
struct config_state
{
  std::uint64_t version = 0;
  document_map documents;
  std::vector<accepted_operation> operations;

  /// Returns null if the operation is unknown or no longer kept.
  const accepted_operation* FindOperation(const std::string& aId) const;
};

std::string
EncodeConfigState(const config_state& aState);

/// Fails with `internal` if the text is not an encoded state.
result<config_state>
DecodeConfigState(const std::string& aText);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DISTRIBUTION_CONFIG_STATE_H_

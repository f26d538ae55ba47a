#ifndef EELGRASSTRACK_FLEET_STORE_AGE_TEXT_H_
#define EELGRASSTRACK_FLEET_STORE_AGE_TEXT_H_

#include <string>

#include "proxy/config-knowledge.h"

namespace eelgrasstrack {

/// Age of the knowledge of the store in milliseconds, for a log line.
inline std::string
StoreAgeText(const config_knowledge& aConfig, time_point aNow)
{
  std::optional<duration> age = aConfig.StoreAge(aNow);
  return age ? std::to_string(Milliseconds(*age)) : "unknown";
}

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_FLEET_STORE_AGE_TEXT_H_

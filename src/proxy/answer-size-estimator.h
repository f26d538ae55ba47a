#ifndef EELGRASSTRACK_PROXY_ANSWER_SIZE_ESTIMATOR_H_
#define EELGRASSTRACK_PROXY_ANSWER_SIZE_ESTIMATOR_H_

#include <map>
#include <string>

namespace eelgrasstrack {

/// Moving averages of the size of answers, in bytes, by route.
class answer_size_estimator
{
public:
  void Record(const std::string& aRoute, std::size_t aBytes);
  /// Expected size of an answer; 0 if none was recorded.
  std::size_t Expected(const std::string& aRoute) const;

private:
  std::map<std::string, double> mAverages;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_ANSWER_SIZE_ESTIMATOR_H_

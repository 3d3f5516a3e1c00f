# Installs the state and coordination libraries with a CMake package, and the programs.
include(CMakePackageConfigHelpers)
install(TARGETS marigoldyard_state marigoldyard_coordination EXPORT marigoldyardTargets
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY include/marigoldyard/state include/marigoldyard/coordination
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/marigoldyard)
install(EXPORT marigoldyardTargets NAMESPACE marigoldyard:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/marigoldyard)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/marigoldyardConfigVersion.cmake
                                 COMPATIBILITY SameMinorVersion)
configure_package_config_file(cmake/marigoldyardConfig.cmake.in ${CMAKE_CURRENT_BINARY_DIR}/marigoldyardConfig.cmake
                              INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/marigoldyard)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/marigoldyardConfig.cmake
              ${CMAKE_CURRENT_BINARY_DIR}/marigoldyardConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/marigoldyard)
if(MARIGOLDYARD_BUILD_PROGRAMS)
  install(TARGETS marigold-entry marigold-agent marigoldctl RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
endif()
